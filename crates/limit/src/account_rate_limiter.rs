//! Rate limits of client accounts, which the entries share in proportion to their demand.

use crate::{
    account_rate_limit::AccountRateLimit,
    demand_rate::DemandRate,
    peer_demand::PeerDemand,
    token_bucket::TokenBucket,
    usage_digest::{MAX_ACCOUNTS, UsageDigest},
};
use base::HashMap;

/// Time without a digest after which a peer counts as disconnected.
const PEER_TIMEOUT_MS: u64 = 3_000;

/// Time without a digest after which the share of a peer is released to the other entries, provided that this entry is
/// connected to at least half of its peers.
const SHARE_RELEASE_MS: u64 = 15_000;

/// Fraction of the rate that is divided evenly among the entries, so that each of them always admits some requests.
const EVEN_FRACTION: f64 = 0.05;

/// Maximum number of accounts whose state is kept. Beyond this number, the least recently used account is evicted.
const MAX_TRACKED_ACCOUNTS: usize = 4_096;

/// Demand, share and token buckets of one account.
#[derive(Clone, Debug)]
struct Account {
    demand: DemandRate,
    /// Fraction of the account's rate that this entry may use, from 0 to 1.
    share: f64,
    /// Bucket of the limit on requests per second.
    requests: TokenBucket,
    /// Bucket of the limit on model tokens per second.
    tokens: TokenBucket,
    /// Time of the last request of the account.
    used_at_ms: u64,
}

/// Rate limiter of all client accounts at one entry.
///
/// Each entry uses a share of an account's rate, which it computes from the demand at all entries. The shares add up to
/// the rate as soon as all entries have received the same digests. An entry that receives no digests keeps its last
/// shares.
#[derive(Clone, Debug)]
pub struct AccountRateLimiter {
    /// Hash of the identifier of this entry.
    entry: u64,
    /// Sequence number of the last digest.
    sequence: u64,
    /// Other live entries by the hash of their identifiers; `None` before the first digest.
    peers: HashMap<u64, Option<PeerDemand>>,
    /// Time at which the last peer was added.
    peer_added_at_ms: u64,
    /// Accounts by the hash of their names.
    accounts: HashMap<u32, Account>,
}

impl AccountRateLimiter {
    /// Creates the limiter of the entry whose identifier has the hash `entry`.
    ///
    /// `sequence` is the sequence number before the first digest. It must grow across restarts, as the wall clock in
    /// milliseconds does.
    pub fn new(entry: u64, sequence: u64) -> Self {
        let (peers, accounts) = (HashMap::default(), HashMap::default());
        Self { entry, sequence, peers, peer_added_at_ms: 0, accounts }
    }

    /// Replaces the list of live entries, given by the hashes of their identifiers; this entry may be among them. A new
    /// peer is assigned an even share until its first digest.
    pub fn set_peers(&mut self, peers: &[u64], now_ms: u64) {
        self.peers.retain(|peer, _| peers.contains(peer));
        for &peer in peers.iter().filter(|&&peer| peer != self.entry) {
            self.peers.entry(peer).or_insert_with(|| {
                self.peer_added_at_ms = now_ms;
                None
            });
        }
    }

    /// Applies the digest of a peer, and returns whether it was applied. A digest is discarded if its sender is unknown
    /// or if it is not newer than the last one of its sender.
    pub fn merge(&mut self, digest: &UsageDigest, now_ms: u64) -> bool {
        let Some(peer) = self.peers.get_mut(&digest.entry) else { return false };
        if peer.as_ref().is_some_and(|last| last.sequence >= digest.sequence) {
            return false;
        }
        let mut demands = peer.take().map(|last| last.demands).unwrap_or_default();
        demands.extend(digest.demands.iter().map(|&(account, rate)| (account, (rate, now_ms))));
        demands.retain(|_, (_, at_ms)| now_ms.saturating_sub(*at_ms) <= SHARE_RELEASE_MS);
        let sequence = digest.sequence;
        *peer = Some(PeerDemand { sequence, received_at_ms: now_ms, demands });
        true
    }

    /// Returns the next digest for the peers. It covers the accounts with the highest demand.
    pub fn digest(&mut self, now_ms: u64) -> UsageDigest {
        self.sequence += 1;
        let rates = self.accounts.iter().map(|(&hash, account)| {
            let rate_per_s = account.demand.rate_per_s(now_ms) as f32;
            (hash, if rate_per_s < 0.01 { 0.0 } else { rate_per_s })
        });
        let mut demands: Vec<(u32, f32)> = rates.collect();
        demands.sort_unstable_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        demands.truncate(MAX_ACCOUNTS);
        UsageDigest { entry: self.entry, sequence: self.sequence, demands }
    }

    /// Admits or rejects a request of the account whose name has the hash `account`. The request counts as `tokens`
    /// tokens against the limit on tokens.
    ///
    /// # Errors
    ///
    /// If this entry's share of the rate is used up, returns the time in milliseconds until the share allows a request.
    pub fn admit(
        &mut self,
        account: u32,
        rate: &AccountRateLimit,
        tokens: u32,
        now_ms: u64,
    ) -> Result<(), u64> {
        self.evict_least_recently_used();
        let even_share = 1.0 / (self.peers.len() + 1) as f64;
        let state = self.accounts.entry(account).or_insert_with(|| Account {
            demand: DemandRate::new(now_ms),
            share: even_share,
            requests: TokenBucket::new(now_ms),
            tokens: TokenBucket::new(now_ms),
            used_at_ms: now_ms,
        });
        state.demand.record_request(now_ms);
        state.used_at_ms = now_ms;
        let own_demand = state.demand.rate_per_s(now_ms);
        let share = self.share(account, own_demand, rate.requests_per_s, now_ms);
        let Some(state) = self.accounts.get_mut(&account) else { return Ok(()) };
        state.share = share.unwrap_or(state.share);
        let requests_per_s = rate.requests_per_s * state.share;
        state.requests.refill(requests_per_s, now_ms);
        let tokens_per_s = rate.tokens_per_s.map(|tokens_per_s| tokens_per_s * state.share);
        let cost = f64::from(tokens);
        if let Some(tokens_per_s) = tokens_per_s {
            state.tokens.refill(tokens_per_s, now_ms);
            if !state.tokens.allows(cost) {
                return Err(state.tokens.wait_ms(tokens_per_s));
            }
        }
        if !state.requests.allows(1.0) {
            return Err(state.requests.wait_ms(requests_per_s));
        }
        state.requests.charge(1.0);
        if tokens_per_s.is_some() {
            state.tokens.charge(cost);
        }
        Ok(())
    }

    /// Returns the fraction of an account's rate that this entry may use now, or `None` if it is disconnected from all
    /// peers and keeps its last share.
    fn share(&self, account: u32, own_demand: f64, rate: f64, now_ms: u64) -> Option<f64> {
        if self.peers.is_empty() {
            return Some(1.0);
        }
        let even_share_of_all = 1.0 / (self.peers.len() + 1) as f64;
        if self.peers.values().all(Option::is_none) {
            return Some(even_share_of_all);
        }
        let since_digest_ms = |peer: &Option<PeerDemand>| {
            let received_at_ms =
                peer.as_ref().map_or(self.peer_added_at_ms, |peer| peer.received_at_ms);
            now_ms.saturating_sub(received_at_ms)
        };
        let connected =
            self.peers.values().filter(|peer| since_digest_ms(peer) <= PEER_TIMEOUT_MS).count();
        if connected == 0 {
            return None;
        }
        // An entry that is connected to a minority may be on the cut-off side of a partition, so it releases no shares.
        let may_release = 2 * connected >= self.peers.len();
        let counted = self
            .peers
            .values()
            .filter(|peer| !may_release || since_digest_ms(peer) <= SHARE_RELEASE_MS);
        let even_share = 1.0 / (counted.clone().count() + 1) as f64;
        let other_demand: f64 = counted
            .map(|peer| match peer {
                None => rate * even_share,
                Some(peer) => {
                    peer.demands.get(&account).map_or(0.0, |&(demand, _)| f64::from(demand))
                }
            })
            .sum();
        let total_demand = own_demand + other_demand;
        let spare = (rate - total_demand).max(0.0);
        let by_demand =
            (own_demand + spare * even_share) / (total_demand + spare).max(f64::MIN_POSITIVE);
        Some(EVEN_FRACTION * even_share + (1.0 - EVEN_FRACTION) * by_demand)
    }

    /// Evicts the least recently used account if there are too many.
    fn evict_least_recently_used(&mut self) {
        if self.accounts.len() <= MAX_TRACKED_ACCOUNTS {
            return;
        }
        let oldest = self.accounts.iter().min_by_key(|(_, account)| account.used_at_ms);
        if let Some(hash) = oldest.map(|(&hash, _)| hash) {
            self.accounts.remove(&hash);
        }
    }
}

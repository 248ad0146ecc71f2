//! Share of each client account's rate at one entry.

use crate::{
    account_rate_limit::AccountRateLimit,
    bucket::Bucket,
    demand::Demand,
    digest::{ACCOUNTS, UsageDigest},
    peer_demand::PeerDemand,
};
use base::HashMap;

/// Time without a digest after which a peer counts as silent.
const SILENT_MS: u64 = 3_000;

/// Time without a digest after which a peer's share is freed, if this entry hears from at least half of the peers.
const FREE_MS: u64 = 15_000;

/// Part of the rate that is split evenly whatever the demand is, so that no entry is ever locked out.
const EVEN_PART: f64 = 0.05;

/// Accounts whose state is kept; the least recently used idle ones are removed beyond it.
const ACCOUNTS_KEPT: usize = 4_096;

/// Share and buckets of one account.
#[derive(Clone, Debug)]
struct Account {
    demand: Demand,
    /// Part of the account's rate that this entry may use, from 0 to 1.
    share: f64,
    requests: Bucket,
    tokens: Bucket,
    used_at_ms: u64,
}

/// Shares of all accounts at one entry.
///
/// Each entry computes the shares of all from the same demands, so they add up to the rate as soon as all have heard
/// the same digests. An entry that hears nothing keeps its last shares.
#[derive(Clone, Debug)]
pub struct AccountRateLimiter {
    entry: u64,
    sequence: u64,
    peers: HashMap<u64, Option<PeerDemand>>,
    known_at_ms: u64,
    accounts: HashMap<u32, Account>,
}

impl AccountRateLimiter {
    /// Limits at the entry with the hash `entry`. `sequence` must grow over restarts, for example the wall clock in
    /// milliseconds.
    pub fn new(entry: u64, sequence: u64) -> Self {
        let (peers, accounts) = (HashMap::default(), HashMap::default());
        Self { entry, sequence, peers, known_at_ms: 0, accounts }
    }

    /// Takes over the hashes of the other entries that live. A new one is given an even share until its first digest.
    pub fn set_peers(&mut self, peers: &[u64], now_ms: u64) {
        self.peers.retain(|peer, _| peers.contains(peer));
        for &peer in peers.iter().filter(|&&peer| peer != self.entry) {
            self.peers.entry(peer).or_insert_with(|| {
                self.known_at_ms = now_ms;
                None
            });
        }
    }

    /// Takes over a digest; an older one than the last of its sender, or one of an unknown sender, is dropped.
    pub fn merge(&mut self, digest: &UsageDigest, now_ms: u64) -> bool {
        let Some(peer) = self.peers.get_mut(&digest.entry) else { return false };
        if peer.as_ref().is_some_and(|known| known.sequence >= digest.sequence) {
            return false;
        }
        let mut demands = peer.take().map(|known| known.demands).unwrap_or_default();
        demands.extend(digest.demands.iter().map(|&(account, rate)| (account, (rate, now_ms))));
        demands.retain(|_, (_, at_ms)| now_ms.saturating_sub(*at_ms) <= FREE_MS);
        let sequence = digest.sequence;
        *peer = Some(PeerDemand { sequence, heard_at_ms: now_ms, demands });
        true
    }

    /// Digest for the peers: the accounts with the highest demand.
    pub fn digest(&mut self, now_ms: u64) -> UsageDigest {
        self.sequence += 1;
        let rates = self.accounts.iter().map(|(&hash, account)| {
            let rate_per_s = account.demand.rate_per_s(now_ms) as f32;
            (hash, if rate_per_s < 0.01 { 0.0 } else { rate_per_s })
        });
        let mut demands: Vec<(u32, f32)> = rates.collect();
        demands.sort_unstable_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        demands.truncate(ACCOUNTS);
        UsageDigest { entry: self.entry, sequence: self.sequence, demands }
    }

    /// Admits a request of the account with the hash `account`, or names the time after which it may be tried again.
    ///
    /// # Errors
    ///
    /// Milliseconds until the account's share allows a request.
    pub fn admit(
        &mut self,
        account: u32,
        rate: &AccountRateLimit,
        tokens: u32,
        now_ms: u64,
    ) -> Result<(), u64> {
        self.forget_idle();
        let even = 1.0 / (self.peers.len() + 1) as f64;
        let state = self.accounts.entry(account).or_insert_with(|| Account {
            demand: Demand::new(now_ms),
            share: even,
            requests: Bucket::new(now_ms),
            tokens: Bucket::new(now_ms),
            used_at_ms: now_ms,
        });
        state.demand.count(now_ms);
        state.used_at_ms = now_ms;
        let own = state.demand.rate_per_s(now_ms);
        let share = self.share(account, own, rate.requests_per_s, now_ms);
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

    /// Part of an account's rate that this entry may use now; `None` while it is cut off and keeps the last one.
    fn share(&self, account: u32, own: f64, rate: f64, now_ms: u64) -> Option<f64> {
        if self.peers.is_empty() {
            return Some(1.0);
        }
        let even_of_all = 1.0 / (self.peers.len() + 1) as f64;
        if self.peers.values().all(Option::is_none) {
            return Some(even_of_all);
        }
        let silence_ms = |peer: &Option<PeerDemand>| {
            let since_ms = peer.as_ref().map_or(self.known_at_ms, |peer| peer.heard_at_ms);
            now_ms.saturating_sub(since_ms)
        };
        let heard = self.peers.values().filter(|peer| silence_ms(peer) <= SILENT_MS).count();
        if heard == 0 {
            return None;
        }
        // A minority may be the side of a partition that is cut off, so it frees nothing.
        let may_free = 2 * heard >= self.peers.len();
        let live = self.peers.values().filter(|peer| !may_free || silence_ms(peer) <= FREE_MS);
        let even = 1.0 / (live.clone().count() + 1) as f64;
        let others: f64 = live
            .map(|peer| match peer {
                None => rate * even,
                Some(peer) => {
                    peer.demands.get(&account).map_or(0.0, |&(demand, _)| f64::from(demand))
                }
            })
            .sum();
        let total = own + others;
        let spare = (rate - total).max(0.0);
        let follows = (own + spare * even) / (total + spare).max(f64::MIN_POSITIVE);
        Some(EVEN_PART * even + (1.0 - EVEN_PART) * follows)
    }

    fn forget_idle(&mut self) {
        if self.accounts.len() <= ACCOUNTS_KEPT {
            return;
        }
        let oldest = self.accounts.iter().min_by_key(|(_, account)| account.used_at_ms);
        if let Some(hash) = oldest.map(|(&hash, _)| hash) {
            self.accounts.remove(&hash);
        }
    }
}

//! Tests that account rate limits are neither exceeded nor missed, and that no entry is starved.

use limit::{AccountRateLimit, AccountRateLimiter, UsageDigest};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Hash of the name of the account that all tests use.
const ACCOUNT: u32 = 7;

/// Step of the virtual clock.
const TICK_MS: u64 = 5;

/// Interval at which the entries exchange their digests.
const DIGEST_INTERVAL_MS: u64 = 330;

/// Returns a checker with a fixed seed, so that every test run tries the same cases.
fn seeded_checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 1))
}

/// Entries on a virtual clock. Each sends its digests to all others, except that disconnected entries neither send nor
/// receive any.
struct Fleet {
    entries: Vec<AccountRateLimiter>,
    is_disconnected: Vec<bool>,
    now_ms: u64,
    rng: SmallRng,
    limit: AccountRateLimit,
}

impl Fleet {
    fn new(count: u64, requests_per_s: f64, seed: u64) -> Self {
        let all: Vec<u64> = (0..count).collect();
        let mut entries: Vec<AccountRateLimiter> =
            all.iter().map(|&entry| AccountRateLimiter::new(entry, 0)).collect();
        entries.iter_mut().for_each(|entry| entry.set_peers(&all, 0));
        Self {
            is_disconnected: vec![false; entries.len()],
            entries,
            now_ms: 0,
            rng: SmallRng::seed_from_u64(seed),
            limit: AccountRateLimit { requests_per_s, tokens_per_s: None },
        }
    }

    /// Sends `demands` requests per second to the entries, and returns the number that each admitted.
    fn run(&mut self, demands: &[f64], duration_ms: u64) -> Vec<u32> {
        let mut admitted = vec![0; self.entries.len()];
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            for (position, &demand) in demands.iter().enumerate() {
                let expected = demand * TICK_MS as f64 / 1_000.0;
                let whole = expected.floor();
                let count = whole as u32 + u32::from(self.rng.random_bool(expected - whole));
                for _ in 0..count {
                    let result = self.entries[position].admit(ACCOUNT, &self.limit, 1, self.now_ms);
                    admitted[position] += u32::from(result.is_ok());
                }
            }
            if self.now_ms % DIGEST_INTERVAL_MS < TICK_MS {
                self.exchange_digests();
            }
        }
        admitted
    }

    fn exchange_digests(&mut self) {
        for from in 0..self.entries.len() {
            let bytes = self.entries[from].digest(self.now_ms).encode();
            let digest = UsageDigest::decode(&bytes).unwrap();
            for to in 0..self.entries.len() {
                if to != from && !self.is_disconnected[from] && !self.is_disconnected[to] {
                    self.entries[to].merge(&digest, self.now_ms);
                }
            }
        }
    }
}

/// Fails if the entries together admit more than 110% of the rate limit, or less than 90% of the limit or the demand,
/// whichever is smaller, for any distribution of the demand.
#[test]
fn fleet_keeps_to_the_rate_limit_with_skewed_demand() {
    fn holds(weights: (u8, u8, u8, u8, u8, u8, u8), load: u8, seed: u64) -> bool {
        let (a, b, c, d, e, f, g) = weights;
        let weights = [a, b, c, d, e, f, g].map(|weight| f64::from(weight) + 1.0);
        let sum: f64 = weights.iter().sum();
        let demand = 200.0 * (0.3 + f64::from(load) / 64.0);
        let demands = weights.map(|weight| weight / sum * demand);
        let mut fleet = Fleet::new(7, 200.0, seed);
        fleet.run(&demands, 10_000);
        let admitted: u32 = fleet.run(&demands, 10_000).iter().sum();
        let rate = f64::from(admitted) / 10.0;
        rate <= 220.0 && rate >= 0.9 * demand.min(200.0)
    }
    type Weights = (u8, u8, u8, u8, u8, u8, u8);
    seeded_checker().tests(40).quickcheck(holds as fn(Weights, u8, u64) -> bool);
}

/// Fails if a lost entry keeps its share for good, or if the share is released before the time limit.
#[test]
fn share_of_a_lost_entry_is_released_after_the_time_limit() {
    let mut fleet = Fleet::new(7, 200.0, 1);
    let demands = [100.0; 7];
    fleet.run(&demands, 10_000);
    fleet.is_disconnected[0] = true;
    let mut demands_after_loss = demands;
    demands_after_loss[0] = 0.0;
    fleet.run(&demands_after_loss, 1_000);
    let early: u32 = fleet.run(&demands_after_loss, 10_000).iter().sum();
    fleet.run(&demands_after_loss, 10_000);
    let late: u32 = fleet.run(&demands_after_loss, 10_000).iter().sum();
    assert!(early <= 1_900, "{early} of 2,000 requests admitted before the release of the share");
    assert!(
        (1_800..=2_200).contains(&late),
        "{late} of 2,000 requests admitted after the release of the share"
    );
}

/// Fails if a disconnected entry stops admitting requests or uses the whole rate.
#[test]
fn disconnected_entry_keeps_its_last_share() {
    let mut fleet = Fleet::new(7, 210.0, 1);
    let demands = [100.0; 7];
    fleet.run(&demands, 10_000);
    fleet.is_disconnected[0] = true;
    fleet.run(&demands, 20_000);
    let admitted = fleet.run(&demands, 10_000)[0];
    assert!(
        (250..=350).contains(&admitted),
        "{admitted} requests admitted; the last share allows 300"
    );
}

/// Fails if an entry that had no demand rejects all requests when the first ones arrive.
#[test]
fn entry_without_previous_demand_admits_requests() {
    let mut fleet = Fleet::new(7, 50.0, 1);
    let mut demands = [100.0; 7];
    demands[6] = 0.0;
    fleet.run(&demands, 10_000);
    demands[6] = 2.0;
    assert!(fleet.run(&demands, 5_000)[6] > 0);
}

/// Fails if the first requests of an account with a high rate are rejected because they arrive at the same time.
#[test]
fn first_requests_of_an_account_are_admitted_as_a_burst() {
    let mut limiter = AccountRateLimiter::new(1, 0);
    let limit = AccountRateLimit { requests_per_s: 100.0, tokens_per_s: None };
    assert!((0..10).all(|_| limiter.admit(ACCOUNT, &limit, 1, 5).is_ok()));
    assert!((0..100).any(|_| limiter.admit(ACCOUNT, &limit, 1, 5).is_err()));
}

/// Fails if requests that cost more tokens than the burst exceed the token limit or never reach it.
#[test]
fn token_limit_holds_for_requests_above_the_burst() {
    let mut limiter = AccountRateLimiter::new(1, 0);
    let limit = AccountRateLimit { requests_per_s: 1_000.0, tokens_per_s: Some(500.0) };
    let steps = 1..=2_000_u64;
    let admitted = steps.filter(|step| limiter.admit(ACCOUNT, &limit, 900, 10 * step).is_ok());
    let tokens_per_s = admitted.count() as f64 * 900.0 / 20.0;
    assert!((450.0..=550.0).contains(&tokens_per_s), "{tokens_per_s} tokens/s");
}

/// Fails if arbitrary bytes from the network are decoded into a digest with invalid rates or too many accounts.
#[test]
fn arbitrary_bytes_decode_to_a_valid_digest_or_are_rejected() {
    fn holds(bytes: Vec<u8>) -> bool {
        UsageDigest::decode(&bytes).is_none_or(|digest| {
            digest.demands.iter().all(|(_, rate)| rate.is_finite() && *rate >= 0.0)
                && digest.encode() == bytes
        })
    }
    seeded_checker().tests(500).quickcheck(holds as fn(Vec<u8>) -> bool);
    assert_eq!(UsageDigest::decode(&[0; 16 + 8 * 65]), None);
}

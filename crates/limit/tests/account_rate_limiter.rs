//! Guards against account limits that are exceeded, not reached, or lock an entry out.

use limit::{AccountRateLimit, AccountRateLimiter, UsageDigest};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const ACCOUNT: u32 = 7;
const TICK_MS: u64 = 5;
const DIGEST_INTERVAL_MS: u64 = 330;

/// Checker with a fixed seed, so that every run tries the same cases.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 1))
}

/// Entries on a virtual clock. Each sends its digest to all others unless one of the two is cut off.
struct Fleet {
    entries: Vec<AccountRateLimiter>,
    is_cut_off: Vec<bool>,
    now_ms: u64,
    rng: SmallRng,
    rate: AccountRateLimit,
}

impl Fleet {
    fn new(count: u64, requests_per_s: f64, seed: u64) -> Self {
        let all: Vec<u64> = (0..count).collect();
        let mut entries: Vec<AccountRateLimiter> =
            all.iter().map(|&entry| AccountRateLimiter::new(entry, 0)).collect();
        entries.iter_mut().for_each(|entry| entry.set_peers(&all, 0));
        Self {
            is_cut_off: vec![false; entries.len()],
            entries,
            now_ms: 0,
            rng: SmallRng::seed_from_u64(seed),
            rate: AccountRateLimit { requests_per_s, tokens_per_s: None },
        }
    }

    /// Offers `demands` requests a second to the entries for a time; the number admitted at each.
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
                    let outcome = self.entries[position].admit(ACCOUNT, &self.rate, 1, self.now_ms);
                    admitted[position] += u32::from(outcome.is_ok());
                }
            }
            if self.now_ms % DIGEST_INTERVAL_MS < TICK_MS {
                self.exchange();
            }
        }
        admitted
    }

    fn exchange(&mut self) {
        for from in 0..self.entries.len() {
            let bytes = self.entries[from].digest(self.now_ms).encode();
            let digest = UsageDigest::decode(&bytes).unwrap();
            for to in 0..self.entries.len() {
                if to != from && !self.is_cut_off[from] && !self.is_cut_off[to] {
                    self.entries[to].merge(&digest, self.now_ms);
                }
            }
        }
    }
}

/// Fails if the entries together admit over 110% of the rate, or under 90% of it and of the demand.
#[test]
fn the_sum_over_entries_keeps_to_the_rate_with_any_skew() {
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
    seeded().tests(40).quickcheck(holds as fn(Weights, u8, u64) -> bool);
}

/// Fails if a lost entry keeps its share for good, or if the others take it before the bound.
#[test]
fn a_lost_entry_frees_its_share_after_the_bound() {
    let mut fleet = Fleet::new(7, 200.0, 1);
    let demands = [100.0; 7];
    fleet.run(&demands, 10_000);
    fleet.is_cut_off[0] = true;
    let mut without = demands;
    without[0] = 0.0;
    fleet.run(&without, 1_000);
    let early: u32 = fleet.run(&without, 10_000).iter().sum();
    fleet.run(&without, 10_000);
    let late: u32 = fleet.run(&without, 10_000).iter().sum();
    assert!(early <= 1_900, "{early} of 2,000 requests admitted before the bound");
    assert!((1_800..=2_200).contains(&late), "{late} of 2,000 requests admitted after the bound");
}

/// Fails if an entry that is cut off stops serving or takes the whole rate.
#[test]
fn an_entry_that_is_cut_off_keeps_its_last_share() {
    let mut fleet = Fleet::new(7, 210.0, 1);
    let demands = [100.0; 7];
    fleet.run(&demands, 10_000);
    fleet.is_cut_off[0] = true;
    fleet.run(&demands, 20_000);
    let admitted = fleet.run(&demands, 10_000)[0];
    assert!((250..=350).contains(&admitted), "{admitted} admitted, 300 are the last share");
}

/// Fails if an entry whose demand was zero is locked out when a request arrives there.
#[test]
fn an_entry_without_demand_still_admits_a_request() {
    let mut fleet = Fleet::new(7, 50.0, 1);
    let mut demands = [100.0; 7];
    demands[6] = 0.0;
    fleet.run(&demands, 10_000);
    demands[6] = 2.0;
    assert!(fleet.run(&demands, 5_000)[6] > 0);
}

/// Fails if a new account with a high rate has its first requests rejected.
#[test]
fn the_first_requests_of_an_account_pass_together() {
    let mut limits = AccountRateLimiter::new(1, 0);
    let rate = AccountRateLimit { requests_per_s: 100.0, tokens_per_s: None };
    assert!((0..10).all(|_| limits.admit(ACCOUNT, &rate, 1, 5).is_ok()));
    assert!((0..100).any(|_| limits.admit(ACCOUNT, &rate, 1, 5).is_err()));
}

/// Fails if the limit of tokens is exceeded by requests that are larger than the burst.
#[test]
fn tokens_are_limited_with_large_requests() {
    let mut limits = AccountRateLimiter::new(1, 0);
    let rate = AccountRateLimit { requests_per_s: 1_000.0, tokens_per_s: Some(500.0) };
    let steps = 1..=2_000_u64;
    let admitted = steps.filter(|step| limits.admit(ACCOUNT, &rate, 900, 10 * step).is_ok());
    let tokens_per_s = admitted.count() as f64 * 900.0 / 20.0;
    assert!((450.0..=550.0).contains(&tokens_per_s), "{tokens_per_s} tokens/s");
}

/// Fails if bytes from the network make a digest with impossible rates or without a bound.
#[test]
fn a_digest_of_any_bytes_is_valid_or_rejected() {
    fn holds(bytes: Vec<u8>) -> bool {
        UsageDigest::decode(&bytes).is_none_or(|digest| {
            digest.demands.iter().all(|(_, rate)| rate.is_finite() && *rate >= 0.0)
                && digest.encode() == bytes
        })
    }
    seeded().tests(500).quickcheck(holds as fn(Vec<u8>) -> bool);
    assert_eq!(UsageDigest::decode(&[0; 16 + 8 * 65]), None);
}

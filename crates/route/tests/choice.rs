//! Guards against upstream selections that break a routing rule. Most tests check a property against a simple oracle.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{SeedableRng, rngs::SmallRng};
use route::{Candidate, Health, LoadHistory, LoadReport, Policy, PrefixSet, block_hashes, choose};
use std::collections::HashSet;

/// Returns a checker with a fixed seed, so that every test run tries the same cases.
fn seeded_checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 1))
}

#[derive(Clone, Copy, Debug)]
struct ArbitraryCandidate(Candidate);

impl Arbitrary for ArbitraryCandidate {
    fn arbitrary(g: &mut Gen) -> Self {
        let small = |g: &mut Gen| u32::from(u8::arbitrary(g));
        Self(Candidate {
            in_flight: small(g),
            reported_load: Option::<u8>::arbitrary(g).map(u32::from),
            corrected_load: small(g),
            report_age_ms: u64::from(u16::arbitrary(g)),
            sent_since_report: 0,
            batch_limit: small(g),
            missing_blocks: small(g),
            weight: *g.choose(&[0.0, 0.1, 0.5, 1.0]).unwrap(),
            is_local: bool::arbitrary(g),
            has_version: Option::arbitrary(g),
        })
    }
}

fn candidates(raw: Vec<ArbitraryCandidate>) -> Vec<Candidate> {
    raw.into_iter().map(|candidate| candidate.0).collect()
}

/// Fails if no upstream is selected although there is one, or if an upstream that is ejected or lacks the version is
/// selected although another one is usable.
#[test]
fn selection_avoids_ejected_upstreams_and_missing_versions() {
    fn holds(raw: Vec<ArbitraryCandidate>, selection_count: u64, seed: u64) -> bool {
        let candidates = candidates(raw);
        let mut rng = SmallRng::seed_from_u64(seed);
        Policy::ALL.into_iter().all(|policy| {
            match choose(policy, &candidates, selection_count, &mut rng) {
                None => candidates.is_empty(),
                Some(chosen) => {
                    let chosen = candidates[chosen];
                    let serves_version = |c: &Candidate| c.has_version != Some(false);
                    let is_usable = |c: &Candidate| serves_version(c) && c.weight > 0.0;
                    (serves_version(&chosen) || !candidates.iter().any(serves_version))
                        && (is_usable(&chosen) || !candidates.iter().any(is_usable))
                }
            }
        })
    }
    seeded_checker().tests(500).quickcheck(holds as fn(Vec<ArbitraryCandidate>, u64, u64) -> bool);
}

/// Fails if the default policy selects an upstream of another failure domain while one of the own domain has capacity,
/// or selects an upstream of the own domain while that upstream is full.
#[test]
fn own_failure_domain_is_preferred_until_it_is_full() {
    let local = Candidate {
        in_flight: 0,
        reported_load: None,
        corrected_load: 0,
        report_age_ms: 0,
        sent_since_report: 0,
        batch_limit: 8,
        missing_blocks: 0,
        weight: 1.0,
        is_local: true,
        has_version: None,
    };
    let remote = Candidate { is_local: false, ..local };
    let mut rng = SmallRng::seed_from_u64(1);
    for selection_count in 0..100 {
        let free = [remote, local, remote, remote];
        assert_eq!(choose(Policy::Scored, &free, selection_count, &mut rng), Some(1));
        let full = [remote, Candidate { corrected_load: 8, ..local }];
        assert_eq!(choose(Policy::Scored, &full, selection_count, &mut rng), Some(0));
    }
}

/// Fails if the corrected load differs from the report plus the requests sent since its time minus those ended.
#[test]
fn reported_load_is_corrected_by_the_requests_since_the_report() {
    fn holds(events: Vec<bool>, others: u8, report_step: u8) -> bool {
        let mut history = LoadHistory::default();
        let mut counts = Vec::new();
        let mut own = 0_u32;
        for (step, &is_sent) in events.iter().enumerate() {
            let now_ms = 10 * (step as u64 + 1);
            if is_sent {
                history.record_sent(now_ms);
                own += 1;
            } else {
                history.record_ended(now_ms);
                own = own.saturating_sub(1);
            }
            counts.push((now_ms, own));
        }
        let at_ms = u64::from(report_step) * 10;
        let own_at_report =
            counts.iter().rev().find(|(ms, _)| *ms <= at_ms).map_or(0, |&(_, count)| count);
        let requests = own_at_report + u32::from(others);
        history.record_report(LoadReport { at_ms, requests, batch_limit: 8 });
        let now_ms = 10 * (events.len() as u64 + 1);
        history.corrected_load(now_ms.max(at_ms)) == own + u32::from(others)
    }
    seeded_checker().tests(500).quickcheck(holds as fn(Vec<bool>, u8, u8) -> bool);
}

/// Fails if an upstream is not ejected exactly at its third consecutive failure, if the ejection never ends, or if
/// the weight jumps to 1 afterwards.
#[test]
fn ejection_ends_and_is_followed_by_a_slow_start() {
    fn holds(events: Vec<(bool, u16)>) -> bool {
        let mut health = Health::warm();
        let (mut now_ms, mut consecutive_failures) = (0, 0);
        for (is_success, pause_ms) in events {
            now_ms += u64::from(pause_ms);
            let was_ejected = health.is_ejected(now_ms);
            if is_success {
                health.record_success(now_ms);
                consecutive_failures = 0;
            } else if !was_ejected {
                consecutive_failures += 1;
                let is_ejected = health.record_failure(now_ms);
                if is_ejected != (consecutive_failures == 3) {
                    return false;
                }
                consecutive_failures %= 3;
            }
        }
        let later_ms = now_ms + 30_000;
        let is_gradual = (now_ms..later_ms).step_by(100).all(|ms| {
            health.weight(ms) <= health.weight(ms + 100)
                && (health.weight(ms + 100) - health.weight(ms) < 0.13)
        });
        is_gradual && !health.is_ejected(later_ms) && health.weight(later_ms + 5_000) >= 1.0
    }
    seeded_checker().tests(300).quickcheck(holds as fn(Vec<(bool, u16)>) -> bool);
}

/// Fails if the prefix set is not bounded, loses a stored block early, or holds a block that was never stored or was
/// removed.
#[test]
fn prefix_set_is_bounded_and_holds_only_stored_blocks() {
    fn holds(events: Vec<(bool, u8)>, query: Vec<u8>) -> bool {
        let mut set = PrefixSet::default();
        let mut oracle = HashSet::new();
        for (is_stored, block) in events {
            if is_stored {
                set.insert(u64::from(block));
                oracle.insert(u64::from(block));
            } else {
                set.remove(u64::from(block));
                oracle.remove(&u64::from(block));
            }
        }
        let query: Vec<u64> = query.into_iter().map(u64::from).collect();
        set.cached_prefix_len(&query)
            == query.iter().take_while(|block| oracle.contains(block)).count()
    }
    seeded_checker().tests(300).quickcheck(holds as fn(Vec<(bool, u8)>, Vec<u8>) -> bool);
    let mut set = PrefixSet::default();
    (0..20_000).for_each(|block| set.insert(block % 9_000));
    assert!(set.len() <= 4_096);
    assert_eq!(set.cached_prefix_len(&[1_999]), 1);
    assert_eq!(set.cached_prefix_len(&[2_500]), 0);
}

/// Fails if the hashes differ from those in the engines' cache events, in which case no cached prefix is ever found.
#[test]
fn block_hashes_match_those_of_the_engines() {
    let hashes = block_hashes(["composer", "v1", ""], &"tower 1 ".repeat(64));
    assert_eq!(hashes, [0xc580_a7d7_053c_0eaa, 0x4114_5eb9_b04c_1a0a]);
}

/// Fails if long or recovery requests may fill the batch of an engine, so that a short request waits there.
#[test]
fn other_requests_leave_the_short_reserve_free() {
    fn holds(candidate: ArbitraryCandidate) -> bool {
        let mut candidate = Candidate { corrected_load: 0, ..candidate.0 };
        while candidate.has_unreserved_capacity() {
            candidate.corrected_load += 1;
        }
        let limit = candidate.batch_limit;
        limit < 2 || (candidate.corrected_load < limit && candidate.corrected_load >= limit / 2)
    }
    seeded_checker().tests(300).quickcheck(holds as fn(ArbitraryCandidate) -> bool);
}

/// Fails if an entry fills more than a third of the slots that a report shows as free, since several entries with the
/// same report would then fill the reserve.
#[test]
fn entry_fills_a_third_of_the_free_slots_per_report() {
    let mut history = LoadHistory::default();
    history.record_report(LoadReport { at_ms: 100, requests: 2, batch_limit: 16 });
    let mut sent = 0;
    loop {
        let candidate = Candidate {
            in_flight: history.in_flight(),
            reported_load: Some(2),
            corrected_load: history.corrected_load(200),
            report_age_ms: 100,
            sent_since_report: history.sent_since_report(),
            batch_limit: 16,
            missing_blocks: 0,
            weight: 1.0,
            is_local: true,
            has_version: None,
        };
        if !candidate.has_unreserved_capacity() {
            break;
        }
        history.record_sent(200);
        sent += 1;
    }
    assert_eq!(sent, 4);
    history.record_report(LoadReport { at_ms: 300, requests: 6, batch_limit: 16 });
    assert_eq!(history.sent_since_report(), 0);
}

//! Experiment `account-limits`: the total rate that 7 entries (daemons that serve callers) admit for one client
//! account.
//!
//! The part `shares` runs the rate limiters of 7 entries on a virtual clock and exchanges their encoded usage digests.
//! The part `processes` runs 7 daemons that send their digests with heartbeats. It measures three loads: evenly
//! balanced, evenly balanced during an outage of the platform, and with `SKEWED_WEIGHTS` during an outage of the
//! platform.

use crate::{
    bench_error::BenchError,
    caller::{AnswerEnd, GenerationRequest},
    cluster::{Cluster, Layout},
    experiment::{open_load::OpenLoad, options::ExperimentOptions},
};
use limit::{AccountRateLimit, AccountRateLimiter, UsageDigest};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use stand::PlatformFault;
use std::{path::Path, time::Duration};

/// Number of entries.
const ENTRIES: usize = 7;

/// Rate limit of the client account.
const RATE_PER_S: f64 = 70.0;

/// Fraction of the load that a skewed load balancer sends to each entry.
const SKEWED_WEIGHTS: [f64; ENTRIES] = [0.55, 0.2, 0.1, 0.06, 0.04, 0.03, 0.02];

/// Allowed relative difference between the admitted rate and the limit.
const TOLERANCE: f64 = 0.1;

/// Step of the virtual clock.
const STEP_MS: u64 = 5;

/// Time between two digests of an entry.
const DIGEST_INTERVAL_MS: u64 = 330;

/// Duration of each phase on the virtual clock. Before each measured phase, an equally long one lets the limiters adapt
/// their shares to the load.
const PHASE_MS: u64 = 20_000;

pub(super) async fn run(program: &Path, options: &ExperimentOptions) -> Result<(), BenchError> {
    let shares = simulate_limiters(options.seed);
    let processes = measure_daemons(program, options).await?;
    let report = json!({"rate_per_s": RATE_PER_S, "shares": shares, "processes": processes});
    println!("{report}");
    let missed = [
        ("/shares/skewed_per_s", RATE_PER_S),
        ("/shares/entry_lost_per_s", RATE_PER_S),
        ("/shares/skew_moved_per_s", RATE_PER_S),
        ("/processes/even_per_s", RATE_PER_S),
        ("/processes/platform_down_per_s", RATE_PER_S),
        ("/processes/skewed_per_s", RATE_PER_S),
    ]
    .into_iter()
    .find(|(path, rate)| {
        let achieved = report.pointer(path).and_then(Value::as_f64).unwrap_or(0.0);
        (achieved - rate).abs() > TOLERANCE * rate
    });
    match missed {
        None => Ok(()),
        Some((path, _)) => Err(BenchError::Failed(format!("{path} is not within 10% of the rate"))),
    }
}

/// Returns the total rates in requests per second that the limiters admit on a virtual clock.
fn simulate_limiters(seed: u64) -> Value {
    let mut entries: Vec<AccountRateLimiter> =
        (0..ENTRIES as u64).map(|entry| AccountRateLimiter::new(entry, 0)).collect();
    let all: Vec<u64> = (0..ENTRIES as u64).collect();
    entries.iter_mut().for_each(|entry| entry.set_peers(&all, 0));
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut now_ms = 0;
    // Runs one phase and returns the admitted rate. If `is_lost`, the first entry exchanges no digests.
    let mut phase = |entries: &mut [AccountRateLimiter], weights: &[f64], is_lost: bool| {
        let rate = AccountRateLimit { requests_per_s: RATE_PER_S, tokens_per_s: None };
        let mut admitted = 0_u32;
        let end_ms = now_ms + PHASE_MS;
        while now_ms < end_ms {
            now_ms += STEP_MS;
            for (entry, &weight) in entries.iter_mut().zip(weights) {
                let demand = 2.0 * RATE_PER_S * weight * STEP_MS as f64 / 1_000.0;
                if rng.random_bool(demand.min(1.0)) {
                    admitted += u32::from(entry.admit(1, &rate, 1, now_ms).is_ok());
                }
            }
            if now_ms % DIGEST_INTERVAL_MS < STEP_MS {
                exchange_digests(entries, usize::from(is_lost), now_ms);
            }
        }
        f64::from(admitted) * 1_000.0 / PHASE_MS as f64
    };
    phase(&mut entries, &SKEWED_WEIGHTS, false);
    let skewed = phase(&mut entries, &SKEWED_WEIGHTS, false);
    let mut reversed = SKEWED_WEIGHTS;
    reversed.reverse();
    phase(&mut entries, &reversed, false);
    let skew_moved = phase(&mut entries, &reversed, false);
    // The load balancer distributes the load of the lost entry over the others.
    let rest = 1.0 - SKEWED_WEIGHTS[0];
    let mut weights_without_first = SKEWED_WEIGHTS.map(|weight| weight / rest);
    weights_without_first[0] = 0.0;
    phase(&mut entries, &weights_without_first, true);
    let entry_lost = phase(&mut entries, &weights_without_first, true);
    json!({
        "skewed_per_s": skewed,
        "skew_moved_per_s": skew_moved,
        "entry_lost_per_s": entry_lost,
        "digest_bytes": entries[0].digest(now_ms).encode().len(),
    })
}

/// Sends the digest of each entry from the position `first` on to all entries from that position on.
fn exchange_digests(entries: &mut [AccountRateLimiter], first: usize, now_ms: u64) {
    for from in first..entries.len() {
        let bytes = entries[from].digest(now_ms).encode();
        let Some(digest) = UsageDigest::decode(&bytes) else { continue };
        for entry in entries.iter_mut().skip(first) {
            entry.merge(&digest, now_ms);
        }
    }
}

/// Returns the total rates in requests per second that daemons admit under the three loads.
async fn measure_daemons(program: &Path, options: &ExperimentOptions) -> Result<Value, BenchError> {
    let layout = Layout {
        domains: (0..ENTRIES).map(|number| format!("domain-{number}")).collect(),
        engines_per_domain: 1,
        token_gap_ms: 10,
        requests_per_s: RATE_PER_S as u32,
        seed: options.seed,
        ..Layout::default()
    };
    let cluster = Cluster::start(program, layout).await?;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let addrs = cluster.entry_addrs();
    let skewed_addrs: Vec<_> = SKEWED_WEIGHTS
        .iter()
        .zip(&addrs)
        .flat_map(|(weight, addr)| vec![*addr; (weight * 100.0).round() as usize])
        .collect();
    let duration_ms = options.duration_s * 1_000 / 3;
    let load = OpenLoad { requests_per_s: 2.0 * RATE_PER_S, duration_ms, retries: 0 };
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let mut rates = Vec::new();
    for (addrs, is_down) in [(&addrs, false), (&addrs, true), (&skewed_addrs, true)] {
        let fault = if is_down { PlatformFault::Down } else { PlatformFault::Restore };
        cluster.inject_platform_fault(fault).await?;
        let results = load.run(addrs, &mut rng, generation_request).await;
        let done = results.iter().filter(|result| result.end == AnswerEnd::Done).count();
        rates.push(done as f64 * 1_000.0 / duration_ms as f64);
    }
    Ok(json!({
        "even_per_s": rates[0],
        "platform_down_per_s": rates[1],
        "skewed_per_s": rates[2],
    }))
}

fn generation_request(number: u64, _rng: &mut SmallRng) -> GenerationRequest {
    GenerationRequest {
        model: Layout::MODEL.to_owned(),
        prompt: format!("question {number}"),
        max_tokens: 1,
    }
}

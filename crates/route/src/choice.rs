//! Choice of one candidate.

use crate::{candidate::Candidate, policy::Policy};
use rand::{Rng, RngExt, seq::index};

/// Random candidates that are compared, besides the one with the longest cached prefix.
const SAMPLE: usize = 4;

/// Requests that a candidate of another failure domain must be better by.
const REMOTE_COST: f64 = 2.0;

/// Cost of a block that must be computed, in requests: a prompt of 4 KB weighs as much as one running request.
const BLOCK_COST: f64 = 1.0 / 16.0;

/// Requests that each request beyond the batch limit counts as, because it waits in the engine's queue.
const QUEUED_COST: f64 = 8.0;

/// Picks a candidate; `turn` is the number of choices so far. `None` only if there is no candidate.
pub fn choose(
    policy: Policy,
    candidates: &[Candidate],
    turn: u64,
    rng: &mut impl Rng,
) -> Option<usize> {
    let usable = usable(candidates);
    if usable.is_empty() {
        return None;
    }
    match policy {
        Policy::LeastReported => {
            usable.into_iter().min_by_key(|&i| candidates[i].reported_load.unwrap_or(0))
        }
        Policy::RoundRobin => Some(usable[(turn % usable.len() as u64) as usize]),
        Policy::Scored => scored(candidates, &usable, rng),
        Policy::TwoChoices => {
            let pair = [0, 1].map(|_| usable[rng.random_range(0..usable.len())]);
            pair.into_iter().min_by_key(|&i| candidates[i].in_flight)
        }
    }
}

/// Candidates that serve the version and are not ejected. A rule that would leave none is dropped, because stale
/// knowledge must not make a service unreachable.
fn usable(candidates: &[Candidate]) -> Vec<usize> {
    let mut usable: Vec<usize> = (0..candidates.len()).collect();
    narrow(&mut usable, |i| candidates[i].has_version != Some(false));
    narrow(&mut usable, |i| candidates[i].weight > 0.0);
    usable
}

fn narrow(usable: &mut Vec<usize>, is_kept: impl Fn(usize) -> bool) {
    if usable.iter().any(|&i| is_kept(i)) {
        usable.retain(|&i| is_kept(i));
    }
}

/// Compares a random sample of the own failure domain, one of the others, and the best holder of the prefix. A sample
/// keeps entries with the same stale reports from all choosing the same upstream.
fn scored(candidates: &[Candidate], usable: &[usize], rng: &mut impl Rng) -> Option<usize> {
    let (local, remote): (Vec<usize>, Vec<usize>) =
        usable.iter().partition(|&&i| candidates[i].is_local);
    let mut compared = sample(&local, rng);
    compared.extend(sample(&remote, rng));
    compared.extend(usable.iter().copied().min_by_key(|&i| candidates[i].missing_blocks));
    compared.into_iter().min_by(|&a, &b| cost(&candidates[a]).total_cmp(&cost(&candidates[b])))
}

fn sample(from: &[usize], rng: &mut impl Rng) -> Vec<usize> {
    index::sample(rng, from.len(), SAMPLE.min(from.len())).into_iter().map(|i| from[i]).collect()
}

fn cost(candidate: &Candidate) -> f64 {
    let load = f64::from(candidate.corrected_load) + 1.0;
    let queued = load - f64::from(candidate.batch_limit.max(1));
    let remote = if candidate.is_local { 0.0 } else { REMOTE_COST };
    // All candidates have the share 0 if all are ejected.
    load / candidate.weight.max(0.01)
        + queued.max(0.0) * QUEUED_COST
        + f64::from(candidate.missing_blocks) * BLOCK_COST
        + remote
}

//! Selection of an upstream among the candidates.

use crate::{candidate::Candidate, policy::Policy};
use rand::{Rng, RngExt, seq::index};

/// Number of candidates that are sampled from the own failure domain, and again from the other ones. The candidate with
/// the longest cached prefix is compared with them.
const SAMPLE_SIZE: usize = 4;

/// Additional cost of an upstream outside the own failure domain, in requests.
const REMOTE_COST: f64 = 2.0;

/// Cost of a block that must be prefilled, in requests. A prompt of 4 KB costs as much as one running request.
const BLOCK_COST: f64 = 1.0 / 16.0;

/// Additional cost of each request beyond the batch limit, in requests, because it waits in the engine's queue.
const QUEUED_COST: f64 = 8.0;

/// Returns the index of the candidate that `policy` selects, or `None` if there are no candidates.
///
/// `selection_count` is the number of selections so far; it drives round robin.
pub fn choose(
    policy: Policy,
    candidates: &[Candidate],
    selection_count: u64,
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
        Policy::RoundRobin => Some(usable[(selection_count % usable.len() as u64) as usize]),
        Policy::Scored => lowest_cost(candidates, &usable, rng),
        Policy::TwoChoices => {
            let pair = [0, 1].map(|_| usable[rng.random_range(0..usable.len())]);
            pair.into_iter().min_by_key(|&i| candidates[i].in_flight)
        }
    }
}

/// Returns the indices of the candidates that serve the version and are not ejected.
///
/// A filter that no candidate passes is skipped, because stale information must not make a service unreachable.
fn usable(candidates: &[Candidate]) -> Vec<usize> {
    let mut usable: Vec<usize> = (0..candidates.len()).collect();
    retain_if_any(&mut usable, |i| candidates[i].has_version != Some(false));
    retain_if_any(&mut usable, |i| candidates[i].weight > 0.0);
    usable
}

/// Keeps the candidates that pass the filter, or all of them if none passes.
fn retain_if_any(usable: &mut Vec<usize>, is_kept: impl Fn(usize) -> bool) {
    if usable.iter().any(|&i| is_kept(i)) {
        usable.retain(|&i| is_kept(i));
    }
}

/// Returns the index of the candidate with the lowest cost among three groups: a random sample of the own failure
/// domain, a random sample of the other ones, and the candidate with the longest cached prefix.
///
/// Sampling prevents entries with the same stale reports from all selecting the same upstream.
fn lowest_cost(candidates: &[Candidate], usable: &[usize], rng: &mut impl Rng) -> Option<usize> {
    let (local, remote): (Vec<usize>, Vec<usize>) =
        usable.iter().partition(|&&i| candidates[i].is_local);
    let mut compared = sample(&local, rng);
    compared.extend(sample(&remote, rng));
    compared.extend(usable.iter().copied().min_by_key(|&i| candidates[i].missing_blocks));
    compared.into_iter().min_by(|&a, &b| cost(&candidates[a]).total_cmp(&cost(&candidates[b])))
}

/// Returns at most `SAMPLE_SIZE` distinct random elements.
fn sample(from: &[usize], rng: &mut impl Rng) -> Vec<usize> {
    index::sample(rng, from.len(), SAMPLE_SIZE.min(from.len()))
        .into_iter()
        .map(|i| from[i])
        .collect()
}

/// Returns the cost of sending a request to a candidate, in requests.
fn cost(candidate: &Candidate) -> f64 {
    let load = f64::from(candidate.corrected_load) + 1.0;
    let queued = load - f64::from(candidate.batch_limit.max(1));
    let remote = if candidate.is_local { 0.0 } else { REMOTE_COST };
    // The weight is 0 only if all candidates are ejected; the lower bound avoids a division by zero.
    load / candidate.weight.max(0.01)
        + queued.max(0.0) * QUEUED_COST
        + f64::from(candidate.missing_blocks) * BLOCK_COST
        + remote
}

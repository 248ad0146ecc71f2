//! Choice by two random candidates.

use crate::candidate::Candidate;
use rand::{Rng, RngExt};

/// In-flight requests that a remote upstream must be better by before it is preferred to a local one.
const REMOTE_PENALTY: u32 = 2;

/// Picks the better of two random candidates; `None` if there is no candidate.
pub fn choose(candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let first = rng.random_range(0..candidates.len());
    let second = rng.random_range(0..candidates.len());
    let is_second_better = cost(&candidates[second]) < cost(&candidates[first]);
    Some(if is_second_better { second } else { first })
}

fn cost(candidate: &Candidate) -> u32 {
    let penalty = if candidate.is_local { 0 } else { REMOTE_PENALTY };
    candidate.in_flight.saturating_add(penalty)
}

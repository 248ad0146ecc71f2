//! Selection of an instance by its expected response time.

use crate::timed_candidate::TimedCandidate;
use rand::{Rng, RngExt, seq::index};
use std::cmp::Ordering;

/// Number of instances that are sampled from the own failure domain, and again from the other ones, of which the one
/// with the shorter expected response time is compared. With two, processes that know the same do not all send their
/// requests to the same instance.
const CHOICES: usize = 2;

/// Round trip to an instance in another failure domain.
const REMOTE_ROUND_TRIP_MS: f64 = 2.8;

/// Part of the expected response time by which an instance in the own failure domain may be slower, because a learned
/// time varies by so much without any load.
const TOLERANCE: f64 = 0.25;

/// Smallest tolerance. A busy processor of this process delays single answers by more than fast instances take.
const MIN_TOLERANCE_MS: f64 = 10.0;

/// Excess of the expected response time over the tolerance, in parts of the expected time elsewhere, at which as few
/// requests as possible stay in the own failure domain. Below it, the part that leaves grows with the excess, so that
/// processes that see the same rise do not all leave at the same time.
const FULL_EXCESS: f64 = 0.6;

/// Largest part of the requests that leave the own failure domain. The others show when its instances are fast again.
const MAX_LEAVING: f64 = 0.9;

/// Resolution of response times. The load decides between instances whose expected times differ by less.
const RESOLUTION_MS: f64 = 1.0;

/// Response time of all instances of a service that has answered no call yet.
const UNKNOWN_RESPONSE_MS: f64 = 30.0;

/// Returns the index of the candidate that gets a request, or `None` if there are no candidates.
///
/// Candidates in the own failure domain are preferred while they are not slower than the others by more than the
/// tolerance. A candidate that is ejected is selected only if all are.
pub fn choose_by_time(candidates: &[TimedCandidate], rng: &mut impl Rng) -> Option<usize> {
    let is_usable = |candidate: &TimedCandidate| candidate.weight > 0.0;
    let any_usable = candidates.iter().any(is_usable);
    let usable = (0..candidates.len()).filter(|&i| !any_usable || is_usable(&candidates[i]));
    let (local, remote): (Vec<usize>, Vec<usize>) = usable.partition(|&i| candidates[i].is_local);
    let local = fastest(candidates, &local, rng);
    let remote = fastest(candidates, &remote, rng);
    let (Some(local), Some(remote)) = (local, remote) else { return local.or(remote) };
    let remote_ms = expected_ms(&candidates[remote]) + REMOTE_ROUND_TRIP_MS;
    let tolerated_ms = remote_ms + (remote_ms * TOLERANCE).max(MIN_TOLERANCE_MS);
    let excess_ms = expected_ms(&candidates[local]) - tolerated_ms;
    let leaving = (excess_ms / (remote_ms * FULL_EXCESS)).clamp(0.0, MAX_LEAVING);
    Some(if rng.random::<f64>() < leaving { remote } else { local })
}

/// Returns the one of a few random elements of `among` with the shortest expected response time.
fn fastest(candidates: &[TimedCandidate], among: &[usize], rng: &mut impl Rng) -> Option<usize> {
    let sampled = index::sample(rng, among.len(), CHOICES.min(among.len()));
    let sampled = sampled.into_iter().map(|i| among[i]);
    sampled.min_by(|&a, &b| compare(&candidates[a], &candidates[b]))
}

/// Compares two candidates by their expected response times, or by their loads if the times are about the same or one of
/// them has not answered yet. Otherwise a slow first response of one would count as the time of the other.
fn compare(a: &TimedCandidate, b: &TimedCandidate) -> Ordering {
    let (a_ms, b_ms) = (expected_ms(a), expected_ms(b));
    let is_known = a.has_answered && b.has_answered;
    match !is_known || (a_ms - b_ms).abs() < RESOLUTION_MS {
        true => relative_load(a).total_cmp(&relative_load(b)),
        false => a_ms.total_cmp(&b_ms),
    }
}

/// Load with one more request, in parts of the load that the candidate may receive.
fn relative_load(candidate: &TimedCandidate) -> f64 {
    let requests = f64::from(candidate.in_flight) + 1.0;
    requests / f64::from(candidate.slots.max(1)) / candidate.weight.max(0.01)
}

/// Expected response time of one more request. Each of this process' requests in flight occupies a slot, and those
/// beyond the slots wait.
fn expected_ms(candidate: &TimedCandidate) -> f64 {
    let response_ms = candidate.response_ms.unwrap_or(UNKNOWN_RESPONSE_MS);
    let slots = f64::from(candidate.slots.max(1));
    let in_flight = f64::from(candidate.in_flight);
    let queued = (in_flight + 1.0 - slots).max(0.0);
    // The weight is 0 only if all candidates are ejected; the lower bound avoids a division by zero.
    response_ms * (1.0 + in_flight / slots + queued) / candidate.weight.max(0.01)
}

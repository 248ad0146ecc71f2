//! Division of the exposure among the routes of a service.

use crate::{bounds::RolloutBounds, route_key::RouteKey, share_plan::SharePlan, totals::Totals};
use base::HashMap;

/// Part of `exposure_share` that new requests use. The rest is for retries, resumed streams and swings of the demand.
const SHARE_MARGIN: f64 = 0.9;

/// Part of `exposure_share` that a daemon uses without the advice of a judge.
const OWN_MARGIN: f64 = 0.85;

/// Part of `exposure_slack` that new requests use.
const SLACK_MARGIN: f64 = 0.7;

/// Part of the order's duration over which the slack is spent. Early evidence is worth more than late evidence, because
/// the old version's streams need the rest of the time to end.
const SLACK_PART: f64 = 0.35;

/// Part of the order's duration over which the share of all requests until the time limit is spent. Most verdicts are
/// possible at half of the duration.
const SPEND_PART: f64 = 0.48;

/// Parts of the order's duration between which the slack is spent beyond that, if there is no verdict by then.
const LATE_PARTS: (f64, f64) = (0.6, 0.8);

/// Largest share of all requests, also while slack is spent. With 0.6, what could not be sent before the instances were warm
/// went to a few of them at once, and fewer good versions were completed.
const MAX_SHARE: f64 = 0.3;

/// Largest share of a route whose usual answers are not known from before the order, so that the old version can be
/// compared.
const MAX_UNKNOWN_SHARE: f64 = 0.85;

/// Number of answers before the order from which the usual answers of a route are known.
const KNOWN_ANSWERS: u32 = 30;

/// Largest number of routes with shares of their own, as many as fit into a datagram beside the longest names.
const MAX_PLANNED_ROUTES: usize = 128;

/// Times after the verdict *good* from which the share of the target version has the given value.
const SHIFT_STEPS: [(u64, f64); 2] = [(0, 0.5), (400, 1.0)];

/// Share of a route that a daemon uses without the advice of a judge.
pub(crate) fn own_share(bounds: &RolloutBounds) -> f64 {
    bounds.exposure_share * OWN_MARGIN
}

/// Share of all requests that may go to the target version in the next `horizon_ms`, if `rate_per_s` requests arrive.
pub(crate) fn next_share(
    bounds: &RolloutBounds,
    totals: &Totals,
    part_of_duration: f64,
    rate_per_s: f64,
    horizon_ms: u64,
) -> f64 {
    let expected = rate_per_s * horizon_ms as f64 / 1_000.0;
    if expected <= 0.0 {
        return own_share(bounds);
    }
    let share = bounds.exposure_share * SHARE_MARGIN;
    let requests = f64::from(totals.requests()) + expected;
    let slack = bounds.exposure_slack * SLACK_MARGIN * (part_of_duration / SLACK_PART).min(1.0);
    // The slack is used only as an advance on later requests, as far as these are expected.
    let planned = requests / part_of_duration.clamp(0.01, 1.0);
    let advance = share * planned * (part_of_duration / SPEND_PART).min(1.0);
    let (from, to) = LATE_PARTS;
    let late = slack * ((part_of_duration - from) / (to - from)).clamp(0.0, 1.0);
    let allowed = (share * requests + slack).min(advance + late);
    ((allowed - f64::from(totals.sends())) / expected).clamp(0.0, MAX_SHARE)
}

/// Divides a share of all requests among the routes, in equal parts as far as their traffic allows that, so that a route
/// with little traffic yields as much evidence as the others. The routes beyond the largest ones are treated as one, which
/// gets no more than the share that a daemon uses without advice, since routes that are not known yet get it as well.
pub fn allocate(bounds: &RolloutBounds, share: f64, totals: &Totals) -> SharePlan {
    let traffic = |key: &RouteKey| f64::from(totals.routes[key].traffic());
    let mut routes: Vec<RouteKey> =
        totals.routes.keys().copied().filter(|key| traffic(key) > 0.0).collect();
    routes.sort_by(|a, b| traffic(a).total_cmp(&traffic(b)).then(a.cmp(b)));
    let all: f64 = routes.iter().map(&traffic).sum();
    let largest = routes.split_off(routes.len().saturating_sub(MAX_PLANNED_ROUTES));
    let mut parts: Vec<(Option<RouteKey>, f64, f64)> = largest
        .into_iter()
        .map(|key| {
            let is_known = totals.routes[&key].before.answers >= KNOWN_ANSWERS;
            let largest = if is_known { 1.0 } else { MAX_UNKNOWN_SHARE };
            (Some(key), traffic(&key) / all, largest)
        })
        .collect();
    if !routes.is_empty() {
        let part = routes.iter().map(&traffic).sum::<f64>() / all;
        parts.push((None, part, own_share(bounds)));
    }
    // The parts that can take the least come first, and leave the rest to the others.
    parts.sort_by(|a, b| (a.1 * a.2).total_cmp(&(b.1 * b.2)).then(a.0.cmp(&b.0)));
    let mut left = share;
    let mut count = parts.len();
    let mut plan = SharePlan { routes: HashMap::default(), others: own_share(bounds) };
    for (key, part, largest) in parts {
        let amount = (left / count as f64).min(part * largest);
        match key {
            Some(key) => _ = plan.routes.insert(key, amount / part),
            None => plan.others = amount / part,
        }
        left -= amount;
        count -= 1;
    }
    plan
}

/// Share of the target version `since_ms` after the verdict *good*.
pub fn shift_share(since_ms: u64) -> f64 {
    let reached = SHIFT_STEPS.iter().rev().find(|(at_ms, _)| since_ms >= *at_ms);
    reached.map_or(SHIFT_STEPS[0].1, |(_, share)| *share)
}

//! Division of the exposure among the routes of a service.

use crate::{bounds::RolloutBounds, route_key::RouteKey, totals::Totals};

/// Part of `exposure_share` that new requests use. The rest is for retries, resumed streams and swings of the demand.
pub(crate) const SHARE_MARGIN: f64 = 0.85;

/// Part of `exposure_slack` that new requests use.
pub(crate) const SLACK_MARGIN: f64 = 0.5;

/// Part of the order's duration over which the slack is spent. Early evidence is worth more than late evidence.
pub(crate) const SLACK_PART: f64 = 0.4;

/// Largest share of a route. The rest shows how the old version does in the same period.
const MAX_ROUTE_SHARE: f64 = 0.85;

/// Times after the verdict *good* from which the share of the target version has the given value.
const SHIFT_STEPS: [(u64, f64); 3] = [(0, 0.3), (500, 0.6), (1_000, 1.0)];

/// Divides the exposure among the routes, in equal parts as far as their traffic allows that, so that a route with
/// little traffic yields as much evidence as the others. Returns the share of each route.
pub fn allocate(bounds: &RolloutBounds, totals: &Totals) -> Vec<(RouteKey, f64)> {
    let mut routes: Vec<(RouteKey, f64)> =
        totals.routes.iter().map(|(key, counts)| (*key, f64::from(counts.traffic()))).collect();
    routes.retain(|(_, traffic)| *traffic > 0.0);
    routes.sort_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)));
    let all: f64 = routes.iter().map(|(_, traffic)| traffic).sum();
    let requests: f64 = totals.routes.values().map(|counts| f64::from(counts.requests)).sum();
    let sends: f64 = totals.routes.values().map(|counts| f64::from(counts.sends)).sum();
    let allowed = bounds.exposure_share * requests + bounds.exposure_slack * 0.8;
    let margin = if sends < allowed { SHARE_MARGIN } else { SHARE_MARGIN / 4.0 };
    let mut left = bounds.exposure_share * margin;
    let mut count = routes.len();
    let mut shares = Vec::with_capacity(count);
    for (key, traffic) in routes {
        let part = traffic / all;
        let amount = (left / count as f64).min(part * MAX_ROUTE_SHARE);
        shares.push((key, amount / part));
        left -= amount;
        count -= 1;
    }
    shares
}

/// Share of the target version `since_ms` after the verdict *good*.
pub fn shift_share(since_ms: u64) -> f64 {
    let reached = SHIFT_STEPS.iter().rev().find(|(at_ms, _)| since_ms >= *at_ms);
    reached.map_or(SHIFT_STEPS[0].1, |(_, share)| *share)
}

//! Shares of the target version on the routes of a service.

use crate::route_key::RouteKey;
use base::HashMap;

/// Shares of the target version on the routes of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharePlan {
    /// Share of each route with a share of its own.
    pub routes: HashMap<RouteKey, f64>,
    /// Share of each other route.
    pub others: f64,
}

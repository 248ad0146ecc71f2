//! What shows that a version is bad.

use crate::{fault::Fault, route_key::RouteKey};

/// Evidence that a version is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// Route with the bad answers; `None` for all routes together.
    pub route: Option<RouteKey>,
    /// Kind of the bad answers.
    pub fault: Fault,
    /// Number of bad answers.
    pub bad: u32,
    /// Number of answers among which they are.
    pub answers: u32,
    /// Share of bad answers that is usual for the old version.
    pub usual: f64,
}

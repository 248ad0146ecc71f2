//! What a daemon that takes note of an order knows besides.

use crate::{
    bounds::RolloutBounds, counts::Counts, route_key::RouteKey, suspended_version::SuspendedVersion,
};

/// What a daemon that takes note of an order knows besides.
#[derive(Debug)]
pub(crate) struct RolloutStart {
    pub revision: u64,
    /// Whether the order was found in a list, so that it may have run for any time.
    pub is_listed: bool,
    pub number: u64,
    pub lifetime: u64,
    pub bounds: RolloutBounds,
    pub before: Vec<(RouteKey, Counts)>,
    /// Versions of replaced orders that are not among the old ones.
    pub suspended: Vec<SuspendedVersion>,
    /// Whether the target version is the one that served before the replaced order, so that it needs no evaluation.
    pub is_return: bool,
    pub now_ms: u64,
}

//! What a daemon that takes note of an order knows besides.

use crate::{bounds::RolloutBounds, counts::Counts, route_key::RouteKey};

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
    pub now_ms: u64,
}

//! Answer of a judge to a report.

use crate::{phase::Phase, route_key::RouteKey};
use affinity::SoftwareVersion;
use base::ServiceName;
use serde::{Deserialize, Serialize};

/// State of a rollout at a judge, with which it answers reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutReply {
    /// Service of the order.
    pub service: ServiceName,
    /// Target version of the order.
    pub target: SoftwareVersion,
    /// First and last known revision of the order's item.
    pub revisions: [u64; 2],
    /// Age of the order.
    pub age_ms: u64,
    /// Phase of the rollout.
    pub phase: Phase,
    /// Share of the target version on routes that are not in `shares`, in units of 0.0001.
    pub default_share: u16,
    /// Share of the target version on each route, in units of 0.0001.
    pub shares: Vec<(RouteKey, u16)>,
}

//! Counts that a daemon sends to the judges of a rollout.

use crate::{instance_set::InstanceSet, route_counts::RouteCounts, route_key::RouteKey};
use affinity::SoftwareVersion;
use base::ServiceName;
use serde::{Deserialize, Serialize};

/// Counts of one daemon since the order. They are cumulative, so a lost or repeated report does no harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutReport {
    /// Service of the order.
    pub service: ServiceName,
    /// Target version of the order.
    pub target: SoftwareVersion,
    /// First and last known revision of the order's item.
    pub revisions: [u64; 2],
    /// Number that tells the daemon's lifetimes apart.
    pub lifetime: u64,
    /// Number of the report. Of two reports of one lifetime, the one with the higher number counts.
    pub number: u64,
    /// Age of the order as far as the daemon knows.
    pub age_ms: u64,
    /// Number of the daemon's requests that run at other versions than the target.
    pub old_running: u32,
    /// Instances of the target version that have answered.
    pub used: InstanceSet,
    /// Instances of the target version that have given bad answers.
    pub bad: InstanceSet,
    /// Counts of each route.
    pub routes: Vec<(RouteKey, RouteCounts)>,
}

impl RolloutReport {
    /// Number of requests since the order.
    pub fn requests(&self) -> u32 {
        self.routes.iter().map(|(_, counts)| counts.requests).sum()
    }
}

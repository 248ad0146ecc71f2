//! State of the fleet that a plan is checked against.

use crate::config_position::ConfigPosition;
use base::{HashMap, HashSet, ModelName, ServiceName, VersionName};

/// State of the fleet, other than the document, that a plan is checked against.
#[derive(Clone, Debug, Default)]
pub struct PlanContext {
    /// Configuration that is active at the daemon that builds or confirms the plan.
    pub active: ConfigPosition,
    /// Versions that running generations of this daemon are pinned to.
    pub pinned: HashSet<(ModelName, VersionName)>,
    /// Number of engines of each service that this daemon knows.
    pub engines: HashMap<ServiceName, u32>,
    /// Time that the weight store needs for one load, in milliseconds.
    pub weight_load_ms: u64,
}

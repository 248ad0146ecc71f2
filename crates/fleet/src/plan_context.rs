//! What a plan is checked against, beside the document.

use crate::config_position::ConfigPosition;
use base::{HashMap, HashSet, ModelName, ServiceName, VersionName};

/// State of the fleet at the time of a plan.
#[derive(Clone, Debug, Default)]
pub struct PlanContext {
    /// Configuration in force at the daemon that plans.
    pub active: ConfigPosition,
    /// Versions that running generations are pinned to.
    pub pinned: HashSet<(ModelName, VersionName)>,
    /// Engines of each service.
    pub engines: HashMap<ServiceName, u32>,
    /// Time that the weight store takes for one load.
    pub weight_load_ms: u64,
}

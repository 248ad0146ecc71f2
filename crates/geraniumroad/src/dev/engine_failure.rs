//! Death of an engine.

use base::VmId;
use std::time::Instant;

/// Death of an engine.
#[derive(Clone, Debug)]
pub struct EngineFailure {
    /// The engine.
    pub engine: VmId,
    /// When it died.
    pub at: Instant,
    /// Generations that it was working on.
    pub generation_ids: Vec<String>,
}

//! Failure of an engine that `dev` injected.

use base::VmId;
use std::time::Instant;

/// Engine that `dev` killed.
#[derive(Clone, Debug)]
pub struct EngineFailure {
    /// Identifier of the engine's VM.
    pub engine: VmId,
    /// Time immediately before the engine was killed.
    pub at: Instant,
    /// Identifiers of the generations that ran at the engine.
    pub generation_ids: Vec<String>,
}

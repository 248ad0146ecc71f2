//! Record of an engine failure that `dev` injected.

use base::VmId;
use std::time::Instant;

/// Which engine `dev` killed, when, and which generations this interrupted.
#[derive(Clone, Debug)]
pub struct EngineFailure {
    /// Identifier of the engine's VM.
    pub engine: VmId,
    /// Time immediately before the engine was killed.
    pub at: Instant,
    /// Identifiers of the generations that ran at the engine when it was killed.
    pub generation_ids: Vec<String>,
}

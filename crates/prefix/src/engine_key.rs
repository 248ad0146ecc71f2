//! Key of a running engine.

use base::stable_hash;

/// Identifies one run of an engine. A restarted engine has another key, because it keeps nothing.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct EngineKey {
    /// Hash of the identifier, which is the same at all daemons and after a restart.
    pub(crate) id_hash: u64,
    started_unix_ms: u64,
}

impl EngineKey {
    /// Creates the key of the engine `id` that was started at `started_unix_ms`; 0 if that is not known.
    pub fn new(id: &str, started_unix_ms: u64) -> Self {
        Self { id_hash: stable_hash(id), started_unix_ms }
    }
}

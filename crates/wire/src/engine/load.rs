//! Load of an engine.

use serde::{Deserialize, Serialize};

/// Answer to `GET /load`. It lags behind the actual load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Sequences in the batch.
    pub running: u32,
    /// Sequences in the queue.
    pub waiting: u32,
    /// Largest number of sequences in the batch.
    pub batch_limit: u32,
    /// Whether the engine announced that it is leaving.
    pub is_leaving: bool,
}

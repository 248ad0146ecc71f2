//! Message in which an engine reports its load.

use serde::{Deserialize, Serialize};

/// Response to `GET /load`, which lags behind the actual load. `EngineState` contains the current load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Number of sequences in the batch.
    pub running: u32,
    /// Number of sequences that wait in the queue for a place in the batch.
    pub waiting: u32,
    /// Largest number of sequences that the batch can hold.
    pub batch_limit: u32,
    /// Whether the engine announced that it is leaving, which means that its VM will be removed soon.
    pub is_leaving: bool,
}

//! Role of an engine.

use serde::{Deserialize, Serialize};

/// Class of requests that an engine is intended for.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// All requests.
    #[default]
    General,
    /// Long generations.
    Long,
    /// Short requests.
    Short,
}

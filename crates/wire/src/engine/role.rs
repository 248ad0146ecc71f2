//! Roles, which divide engines between long and short requests.

use serde::{Deserialize, Serialize};

/// Class of requests that an engine is intended for.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Requests of any length.
    #[default]
    General,
    /// Long generations, not short requests.
    Long,
    /// Short requests, not long generations.
    Short,
}

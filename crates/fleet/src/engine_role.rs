//! Role of engines.

use serde::{Deserialize, Serialize};

/// Part of the work that an engine does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Decoding of tokens.
    Decode,
    /// Both.
    Mixed,
    /// Processing of prompts.
    Prefill,
}

/// Number of engines that have a role.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoleCount {
    /// Role.
    pub role: EngineRole,
    /// Engines that should have it.
    pub engines: u32,
}

//! Roles of engines.

use serde::{Deserialize, Serialize};

/// Part of the inference work that an engine does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Decoding only.
    Decode,
    /// Prefill and decoding.
    Mixed,
    /// Prefill only, that is, processing of prompts.
    Prefill,
}

/// Desired number of engines with a role.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoleCount {
    /// Role that the engines get.
    pub role: EngineRole,
    /// Desired number of engines.
    pub engines: u32,
}

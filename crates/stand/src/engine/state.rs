//! What an engine has done and does.

use serde::{Deserialize, Serialize};

/// Answer to `GET /state`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Tokens decoded since the start.
    pub decoded_tokens: u64,
    /// Requests whose prompt was processed since the start.
    pub prefills: u64,
    /// Requests that are being answered.
    pub active: Vec<String>,
}

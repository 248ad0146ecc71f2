//! Handling of old fencing tokens.

use serde::{Deserialize, Serialize};

/// What an engine does with an order whose fencing token is smaller than one it has seen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingPolicy {
    /// The order is rejected.
    #[default]
    Reject,
    /// The order takes effect as if the token were current.
    Ignore,
}

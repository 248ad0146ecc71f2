//! Policy of an engine for orders with stale fencing tokens.

use serde::{Deserialize, Serialize};

/// What an engine does with an order whose fencing token is smaller than the largest one it has seen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingPolicy {
    /// The order is rejected.
    #[default]
    Reject,
    /// The order is applied as if its token were current.
    Ignore,
}

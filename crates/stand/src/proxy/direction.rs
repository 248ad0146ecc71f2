//! Direction of data through the proxy.

use serde::{Deserialize, Serialize};

/// Direction of data.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the side that connected to the target.
    ToTarget,
    /// From the target to the side that connected.
    ToClient,
}

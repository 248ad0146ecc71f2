//! Names the two directions of a proxied connection.

use serde::{Deserialize, Serialize};

/// Direction in which data flows through a connection, seen from the proxy.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
}

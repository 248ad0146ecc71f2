//! Control message that injects a fault into a proxy.

use crate::proxy::direction::Direction;
use serde::{Deserialize, Serialize};

/// Fault of a proxy; sent as the body of `PUT /control`. Faults accumulate until `restore`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ProxyFault {
    /// Resets all existing connections.
    Cut,
    /// Resets new connections immediately.
    Refuse,
    /// Drops all bytes of the existing connections without closing them. New connections work normally.
    SilenceExisting,
    /// Drops all bytes of all connections, including new ones, without closing them.
    Silence,
    /// Delays all bytes in both directions.
    Delay {
        /// Delay in milliseconds in each direction.
        delay_ms: u64,
    },
    /// Stops forwarding in one direction, so that the sender's buffers fill up.
    Stall {
        /// Stalled direction.
        direction: Direction,
    },
    /// Resets each connection once `size_bytes` bytes have been forwarded to the client since it opened.
    CutAfter {
        /// Number of bytes that are forwarded before the reset.
        size_bytes: u64,
    },
    /// Ends all faults. Existing silent connections stay silent, because they have lost bytes.
    Restore,
}

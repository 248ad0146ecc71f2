//! Faults of the proxy.

use crate::proxy::direction::Direction;
use serde::{Deserialize, Serialize};

/// Fault of a proxy, body of `PUT /control`. Faults add up until `restore`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ProxyFault {
    /// Resets all connections that exist.
    Cut,
    /// Resets new connections at once.
    Refuse,
    /// Drops all bytes of the connections that exist, without closing them; new ones work.
    SilenceExisting,
    /// Drops all bytes of all connections, new ones included, without closing them.
    Silence,
    /// Delays all bytes.
    Delay {
        /// Delay in each direction.
        delay_ms: u64,
    },
    /// Stops reading in one direction, so that the sender's buffers fill up.
    Stall {
        /// Stalled direction.
        direction: Direction,
    },
    /// Resets each connection when so many bytes have passed to the client since the connection opened.
    CutAfter {
        /// Number of bytes that still pass.
        size_bytes: u64,
    },
    /// Ends all other faults. Silent connections stay silent, since bytes of theirs are lost.
    Restore,
}

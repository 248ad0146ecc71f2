//! Faults of the engine stand-in.

use serde::{Deserialize, Serialize};

/// Fault of an engine, body of `PUT /control/fault`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum EngineFault {
    /// Resets all connections that exist.
    Reset,
    /// Resets all connections, new ones included, until `restore`.
    Refuse,
    /// Sends nothing more on the connections that exist, and keeps generating.
    SilenceExisting,
    /// Sends nothing more on any connection until `restore`; new ones are still accepted.
    Silence,
    /// Stops all work until `wake`; connections stay open.
    Freeze,
    /// Goes on after `freeze` as if nothing had happened.
    Wake,
    /// Replaces the next token events by data that is not JSON.
    Malformed {
        /// Number of token events.
        events: u32,
    },
    /// Sends the next token events twice.
    Duplicate {
        /// Number of token events.
        events: u32,
    },
    /// Generates the next tokens without sending them, so that their index is skipped.
    Skip {
        /// Number of token events.
        events: u32,
    },
    /// Puts the identifier of another request on the next token events.
    Cross {
        /// Number of token events.
        events: u32,
    },
    /// Announces in `GET /load` and `GET /state` that the engine leaves; it still takes requests and counts them.
    Leave,
    /// Ends `leave`, `refuse` and `silence` and forgets pending event faults. Silent connections stay silent.
    Restore,
}

//! Faults of the fake engine.

use serde::{Deserialize, Serialize};

/// Fault of an engine, body of `PUT /control/fault`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum EngineFault {
    /// Resets all existing connections.
    Reset,
    /// Resets all connections, including new ones, until `restore`.
    Refuse,
    /// Stops sending on the existing connections, while generation continues.
    SilenceExisting,
    /// Stops sending on all connections until `restore`. New connections are still accepted.
    Silence,
    /// Stops all processing until `wake`. Connections stay open.
    Freeze,
    /// Resumes processing after `freeze`.
    Wake,
    /// Replaces the next token events with data that is not JSON.
    Malformed {
        /// Number of affected token events.
        events: u32,
    },
    /// Sends the next token events twice.
    Duplicate {
        /// Number of affected token events.
        events: u32,
    },
    /// Generates the next tokens without sending them, so that the indexes in the stream have a gap.
    Skip {
        /// Number of affected token events.
        events: u32,
    },
    /// Sends the next token events with the id of another request.
    Cross {
        /// Number of affected token events.
        events: u32,
    },
    /// Announces in `GET /load` and `GET /state` that the engine is leaving. It still accepts requests and counts them.
    Leave,
    /// Ends `leave`, `refuse` and `silence` and clears pending faults of token events. Silent connections stay silent,
    /// because they have lost bytes.
    Restore,
}

//! Control message that injects a fault into a fake engine.

use serde::{Deserialize, Serialize};

/// Fault of an engine; sent as the body of `PUT /control/fault`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum EngineFault {
    /// Resets all existing connections.
    Reset,
    /// Resets all existing connections and, until `restore`, new ones on their first request.
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
    /// Makes `GET /load` and `GET /state` report that the engine is leaving, which means that it will be removed soon.
    /// The engine still accepts requests; they are counted in `EngineCounters::requests_while_leaving`.
    Leave,
    /// Ends `leave`, `refuse` and `silence` and clears pending faults of token events. Silent connections stay silent,
    /// because they have lost bytes.
    Restore,
}

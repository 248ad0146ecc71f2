//! Control message that injects a fault into the fake platform.

use serde::{Deserialize, Serialize};

/// Fault of the platform; sent as the body of `PUT /control/fault`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum PlatformFault {
    /// Resets all existing connections and, until `restore`, new ones on their first request. Leases still expire.
    Down,
    /// Discards all responses on any connection until `restore`. Calls still take effect.
    Silence,
    /// Delays each call until `restore`.
    Slow {
        /// Delay in milliseconds before the call takes effect.
        delay_ms: u64,
    },
    /// Applies the next writes and resets their connections instead of responding.
    LoseNextAnswers {
        /// Number of affected writes.
        writes: u32,
    },
    /// Applies each write and, with some probability, resets its connection instead of responding, until `restore`.
    LoseAnswers {
        /// Probability from 0 to 1.
        probability: f64,
        /// Seed of the random choice.
        seed: u64,
    },
    /// Ends all faults. Existing silent connections stay silent, because they have lost bytes.
    Restore,
}

//! Faults of the platform stand-in.

use serde::{Deserialize, Serialize};

/// Fault of the platform, body of `PUT /control/fault`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum PlatformFault {
    /// Resets all connections, new ones included, until `restore`. Leases go on ending.
    Down,
    /// Sends nothing on any connection until `restore`, and still takes effect.
    Silence,
    /// Delays each answer until `restore`.
    Slow {
        /// Delay before the call takes effect.
        delay_ms: u64,
    },
    /// Applies the next writes and resets their connections instead of answering.
    LoseNextAnswers {
        /// Number of writes.
        writes: u32,
    },
    /// Applies each write, and resets its connection instead of answering with some probability, until `restore`.
    LoseAnswers {
        /// Probability from 0 to 1.
        probability: f64,
        /// Seed of the choice.
        seed: u64,
    },
    /// Ends all other faults.
    Restore,
}

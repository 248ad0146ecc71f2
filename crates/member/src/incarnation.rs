//! Incarnation number of a daemon.

use serde::{Deserialize, Serialize};

/// Incarnation number of a daemon. Only the daemon itself increments it, so a report with a lower number is stale.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns the next incarnation. The largest number saturates.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

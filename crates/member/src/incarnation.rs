//! Incarnation number of a daemon.

use serde::{Deserialize, Serialize};

/// Incarnation number of a daemon. Only the daemon itself raises it, so a report with a lower number is out of date.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The number after this one. The largest number has no successor and stays.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

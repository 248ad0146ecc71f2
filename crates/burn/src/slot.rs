//! Slot of a window.

use crate::request_counts::RequestCounts;
use serde::{Deserialize, Serialize};

/// Counts in one slot of a window.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Slot {
    /// Number of the slot since the Unix epoch.
    pub number: u64,
    /// Counts.
    pub counts: RequestCounts,
}

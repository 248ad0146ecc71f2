//! Time slot of a window.

use crate::request_counts::RequestCounts;
use serde::{Deserialize, Serialize};

/// Request counts in one time slot of a window.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Slot {
    /// Number of the slot, counted from the Unix epoch in slots of the window's `slot_s`.
    pub number: u64,
    /// Requests that finished in the slot.
    pub counts: RequestCounts,
}

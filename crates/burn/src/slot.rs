//! Time slots that a window consists of.

use crate::request_counts::RequestCounts;
use serde::{Deserialize, Serialize};

/// Request counts in one time slot of a window.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Slot {
    /// Number of the slot since the Unix epoch, as `Window::slot_number` returns it.
    pub number: u64,
    /// Requests that finished in the slot.
    pub counts: RequestCounts,
}

//! Windows over which burn rates are measured.

use serde::{Deserialize, Serialize};

/// Length of a time window, as a number of slots of equal length.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Window {
    /// Length of a slot in seconds.
    pub slot_s: u64,
    /// Number of slots.
    pub slots: u64,
}

/// All windows, the shortest first: 5 minutes, 1 hour, 6 hours and 3 days. A longer window has longer slots, which
/// limits the memory that a service needs.
pub const WINDOWS: [Window; 4] = [
    Window { slot_s: 10, slots: 30 },
    Window { slot_s: 120, slots: 30 },
    Window { slot_s: 600, slots: 36 },
    Window { slot_s: 7_200, slots: 36 },
];

impl Window {
    /// Returns the length of the window in seconds.
    pub fn length_s(&self) -> u64 {
        self.slot_s * self.slots
    }

    /// Returns the name as it is printed in reports for operators, or `other` for a window that `WINDOWS` does not
    /// contain.
    pub fn name(&self) -> &'static str {
        match self.length_s() {
            300 => "5 min",
            3_600 => "1 h",
            21_600 => "6 h",
            259_200 => "3 d",
            _ => "other",
        }
    }

    /// Returns the number of the slot that contains a time in seconds since the Unix epoch. Slots are aligned to the
    /// epoch, so that those of several daemons can be added up.
    pub fn slot_number(&self, unix_s: u64) -> u64 {
        unix_s / self.slot_s
    }
}

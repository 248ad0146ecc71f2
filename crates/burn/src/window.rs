//! Windows over which burn is measured.

use serde::{Deserialize, Serialize};

/// Window, which is made of slots of equal length.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Window {
    /// Length of a slot.
    pub slot_s: u64,
    /// Slots.
    pub slots: u64,
}

/// The windows, the shortest first: 5 minutes, 1 hour, 6 hours and 3 days. A longer window has longer slots, so that the
/// memory of a service is bounded.
pub const WINDOWS: [Window; 4] = [
    Window { slot_s: 10, slots: 30 },
    Window { slot_s: 120, slots: 30 },
    Window { slot_s: 600, slots: 36 },
    Window { slot_s: 7_200, slots: 36 },
];

impl Window {
    /// Length of the window.
    pub fn length_s(&self) -> u64 {
        self.slot_s * self.slots
    }

    /// Name for people.
    pub fn name(&self) -> &'static str {
        match self.length_s() {
            300 => "5 min",
            3_600 => "1 h",
            21_600 => "6 h",
            259_200 => "3 d",
            _ => "other",
        }
    }

    /// Number of the slot that holds a time since the Unix epoch. Slots are aligned, so those of several daemons can be
    /// added.
    pub fn slot_number(&self, unix_s: u64) -> u64 {
        unix_s / self.slot_s
    }
}

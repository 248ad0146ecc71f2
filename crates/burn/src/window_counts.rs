//! Adds and sums request counts in the slots of a sliding window.

use crate::{request_counts::RequestCounts, slot::Slot, window::Window};
use serde::{Deserialize, Serialize};

/// Request counts over a sliding window, in at most `window.slots` slots.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// Length and resolution of the window.
    pub window: Window,
    /// Slots that contain requests, in ascending order of their numbers.
    pub slots: Vec<Slot>,
}

impl WindowCounts {
    /// Creates counts without any request.
    pub fn new(window: Window) -> Self {
        Self { window, slots: Vec::new() }
    }

    /// Adds counts at `unix_s`, in seconds since the Unix epoch. If the clock was set back, the counts are added to an
    /// older slot, or dropped if that slot is outside of the window.
    pub fn add(&mut self, unix_s: u64, counts: &RequestCounts) {
        let number = self.window.slot_number(unix_s);
        let newest = self.slots.last().map_or(number, |slot| slot.number.max(number));
        self.drop_expired(newest);
        if number.saturating_add(self.window.slots) > newest {
            self.add_slot(&Slot { number, counts: *counts });
        }
    }

    /// Adds the counts of another daemon, which must belong to an equal window.
    pub fn merge(&mut self, other: &Self) {
        for slot in &other.slots {
            self.add_slot(slot);
        }
        if let Some(newest) = self.slots.last().map(|slot| slot.number) {
            self.drop_expired(newest);
        }
    }

    /// Returns the sum of the counts in the window that ends at `unix_s`, in seconds since the Unix epoch.
    pub fn sum(&self, unix_s: u64) -> RequestCounts {
        let newest = self.window.slot_number(unix_s);
        let mut sum = RequestCounts::default();
        // Slots after the end of the window come from daemons whose clock is ahead and count as well.
        for slot in
            self.slots.iter().filter(|slot| slot.number.saturating_add(self.window.slots) > newest)
        {
            sum.add(&slot.counts);
        }
        sum
    }

    fn add_slot(&mut self, slot: &Slot) {
        match self.slots.binary_search_by_key(&slot.number, |own| own.number) {
            Ok(position) => self.slots[position].counts.add(&slot.counts),
            Err(position) => self.slots.insert(position, *slot),
        }
    }

    /// Drops the slots that are outside of the window that ends with slot number `newest`.
    fn drop_expired(&mut self, newest: u64) {
        let slots = self.window.slots;
        self.slots.retain(|slot| slot.number.saturating_add(slots) > newest);
    }
}

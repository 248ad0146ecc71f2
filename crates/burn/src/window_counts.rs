//! Counts of one window.

use crate::{request_counts::RequestCounts, slot::Slot, window::Window};
use serde::{Deserialize, Serialize};

/// Counts of one window: at most one slot for each of the window's slots.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCounts {
    /// Window.
    pub window: Window,
    /// Slots with requests, in order of their numbers.
    pub slots: Vec<Slot>,
}

impl WindowCounts {
    /// Ring without counts.
    pub fn new(window: Window) -> Self {
        Self { window, slots: Vec::new() }
    }

    /// Adds counts at a time. A clock that was set back adds to an older slot or, outside of the window, to none.
    pub fn add(&mut self, unix_s: u64, counts: &RequestCounts) {
        let number = self.window.slot_number(unix_s);
        let newest = self.slots.last().map_or(number, |slot| slot.number.max(number));
        self.drop_old(newest);
        if number.saturating_add(self.window.slots) > newest {
            self.add_slot(&Slot { number, counts: *counts });
        }
    }

    /// Adds the counts of another daemon.
    pub fn merge(&mut self, other: &Self) {
        for slot in &other.slots {
            self.add_slot(slot);
        }
        if let Some(newest) = self.slots.last().map(|slot| slot.number) {
            self.drop_old(newest);
        }
    }

    /// Sum over the window that ends at a time.
    pub fn sum(&self, unix_s: u64) -> RequestCounts {
        let newest = self.window.slot_number(unix_s);
        let mut sum = RequestCounts::default();
        // A daemon whose clock is ahead may have later slots; they count as the newest.
        for slot in
            self.slots.iter().filter(|slot| slot.number.saturating_add(self.window.slots) > newest)
        {
            sum.add(&slot.counts);
        }
        sum
    }

    fn add_slot(&mut self, slot: &Slot) {
        match self.slots.binary_search_by_key(&slot.number, |known| known.number) {
            Ok(position) => self.slots[position].counts.add(&slot.counts),
            Err(position) => self.slots.insert(position, *slot),
        }
    }

    fn drop_old(&mut self, newest: u64) {
        let slots = self.window.slots;
        self.slots.retain(|slot| slot.number.saturating_add(slots) > newest);
    }
}

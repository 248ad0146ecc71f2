//! Era of the store that a daemon has seen, and the era in which the registered versions are complete.

use crate::{complete_era::CompleteEra, version_records::STREAM_LIFE_MS};

/// Time in one era after which the registered versions are complete. The streams from before the era have ended by then,
/// and so have those of daemons that learned of the era up to a stream's life later.
const COMPLETE_AFTER_MS: u64 = 2 * STREAM_LIFE_MS;

/// Era of the store that a daemon has seen, and the item that states in which era the registered versions are complete.
#[derive(Debug, Default)]
pub(crate) struct EraWatch {
    /// Era with the time at which this daemon first saw it; `None` before the first answer of the store.
    current: Option<(u64, u64)>,
    /// Item of the store with its revision; `None` if the store holds none.
    item: Option<(CompleteEra, u64)>,
}

impl EraWatch {
    /// Records that the store has stated an era. Returns whether it is another one than before.
    pub fn set_current(&mut self, era: u64, now_ms: u64) -> bool {
        let is_new = self.current.is_none_or(|(current, _)| current != era);
        if is_new {
            self.current = Some((era, now_ms));
        }
        is_new
    }

    /// Replaces the item that the store holds.
    pub fn set_item(&mut self, item: Option<(CompleteEra, u64)>) {
        self.item = item;
    }

    /// Whether the registered versions are complete, as far as this daemon knows. Also true before the first answer of the
    /// store.
    pub fn is_complete(&self) -> bool {
        let stated = self.item.map(|(complete, _)| complete.era);
        self.current.is_none_or(|(era, _)| stated == Some(era))
    }

    /// Whether no daemon has stated yet in which era the registered versions are complete.
    pub fn is_unstated(&self) -> bool {
        self.current.is_some() && self.item.is_none()
    }

    /// Item to be written, with the revision of the one that it replaces or 0, and when it is due. `is_new_fleet` tells
    /// that no version was ever registered: then no stream has begun yet. `None` if nothing has to be written.
    pub fn next_item(&self, is_new_fleet: bool, delay_ms: u64) -> Option<(CompleteEra, u64, u64)> {
        let (era, since_ms) = self.current.filter(|_| !self.is_complete())?;
        let revision = self.item.map_or(0, |(_, revision)| revision);
        let age_ms = if is_new_fleet { 0 } else { COMPLETE_AFTER_MS };
        Some((CompleteEra { era }, revision, since_ms + age_ms + delay_ms))
    }
}

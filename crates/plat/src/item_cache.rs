//! Copy of a key-value service's items, from which other processes can read instead of the service.

use crate::source::{Change, Changes, SourceError};
use base::{Clock, HashMap, HashSet, lock};
use bytes::Bytes;
use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard},
};
use tokio::{sync::watch, time::Instant};

/// Number of removals that the cache remembers. A reader that missed more of them has to read all items again.
const MAX_REMOVALS: usize = 4_096;

/// Number of gaps in the history that the cache remembers. Each comes from a list that replaced the items, as after a
/// failed call.
const MAX_GAPS: usize = 16;

/// Largest age that is told apart. Older items are of no use.
const MAX_AGE_MS: u64 = 3_600_000;

/// Tells whether the old and the new value of a key mean the same to every reader.
pub type IsSame = fn(key: &str, old: &[u8], new: &[u8]) -> bool;

/// Items of a key-value service with their revisions, as of the last answer of the service.
///
/// Eras and revisions are those of the service, so a reader can continue after the same revision of the same era at the
/// service or at the cache of another process.
#[derive(Debug)]
pub struct ItemCache {
    clock: Clock,
    is_same: IsSame,
    state: Mutex<State>,
    /// Wakes the waiting readers after each update.
    updates: watch::Sender<()>,
    /// Era of the service from which the items are.
    eras: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    /// Value of each key, with the revision at which its meaning last changed.
    items: HashMap<Box<str>, (Bytes, u64)>,
    /// Removed keys with the revisions of their removals, oldest first.
    removals: VecDeque<(Box<str>, u64)>,
    /// Era of the service from which the items are.
    era: u64,
    /// Removals up to this revision are no longer remembered.
    forgotten_removals: u64,
    /// Pairs of revisions, oldest first, between which keys may have been written and removed again unnoticed. A reader
    /// that continues between the two may have learned of such a key elsewhere; one that continues at either of them
    /// has not.
    gaps: VecDeque<(u64, u64)>,
    /// Whether the items are about to be replaced by others that do not continue them.
    is_superseded: bool,
    /// Revision up to which all changes are included; 0 before the first update.
    revision: u64,
    /// When the items were last known to be the latest ones; `None` before that and during an outage. It is negative if
    /// that was before the clock started.
    confirmed_ms: Option<i64>,
}

impl ItemCache {
    /// Creates an empty cache. A write for which `is_same` returns true is not reported to readers.
    pub fn new(is_same: IsSame) -> Self {
        Self {
            clock: Clock::start(),
            is_same,
            state: Mutex::default(),
            updates: watch::Sender::new(()),
            eras: watch::Sender::new(0),
        }
    }

    /// Replaces all items, unless they are of an earlier era. `is_latest` tells whether they were the latest ones
    /// `list.age_ms` ago.
    ///
    /// A later list of the same era is applied as the changes since the last read, so that readers that continue after
    /// an earlier revision get changes instead of all items. It does not tell which keys were written and removed between the
    /// two, and a reader may have learned of such a key elsewhere. So readers that continue between the two revisions have
    /// to read all items, and so has every reader after any other list.
    pub fn replace(&self, list: &Changes, is_latest: bool) {
        if list.era < self.era() {
            return;
        }
        self.update(is_latest.then_some(list.age_ms), |state| {
            state.is_superseded = false;
            if list.era == state.era && state.revision > 0 && list.revision >= state.revision {
                state.merge(list, self.is_same);
                return;
            }
            state.items.clear();
            state.removals.clear();
            state.gaps.clear();
            state.write(&list.changes, self.is_same);
            if list.era > state.era {
                state.forgotten_removals = 0;
            }
            state.forgotten_removals = state.forgotten_removals.max(list.revision);
            state.era = list.era;
            state.revision = list.revision;
        });
        self.eras.send_if_modified(|era| std::mem::replace(era, list.era) != list.era);
    }

    /// Applies the changes that a watch returned, after which the items are the latest ones as of `read.age_ms` ago.
    /// Changes of another era are ignored, because they do not continue the items.
    pub fn apply(&self, read: &Changes) {
        if read.era != self.era() {
            return;
        }
        self.update(Some(read.age_ms), |state| {
            state.write(&read.changes, self.is_same);
            state.revision = state.revision.max(read.revision);
        });
    }

    /// Records that the service does not respond, so that readers turn to another source at once.
    pub fn mark_outage(&self) {
        self.state().confirmed_ms = None;
        self.updates.send_replace(());
    }

    /// Records that the items have to be replaced by a list that does not continue them, so that readers list at once. The
    /// next list ends this.
    pub fn mark_superseded(&self) {
        self.state().is_superseded = true;
        self.updates.send_replace(());
    }

    /// Revision up to which all changes are included; 0 before the first update.
    pub fn revision(&self) -> u64 {
        self.state().revision
    }

    /// Era of the service from which the items are; 0 before the first update, and if the service does not state it.
    pub fn era(&self) -> u64 {
        self.state().era
    }

    /// Subscribes to the era of the service.
    pub fn eras(&self) -> watch::Receiver<u64> {
        self.eras.subscribe()
    }

    /// Returns the value of each key that begins with `prefix`.
    pub fn values(&self, prefix: &str) -> Vec<(Box<str>, Bytes)> {
        let state = self.state();
        let matching = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        matching.map(|(key, (value, _))| (key.clone(), value.clone())).collect()
    }

    /// Returns all items.
    ///
    /// # Errors
    ///
    /// `Outdated` if the items have not been confirmed as the latest ones within `max_age_ms`.
    pub fn list(&self, max_age_ms: u64) -> Result<Changes, SourceError> {
        let state = self.state();
        let age_ms = state.age_ms(self.clock.now_ms(), max_age_ms)?;
        Ok(state.answer(state.items_after(0), age_ms))
    }

    /// Returns the items whose keys follow `after`, in the order of their keys and up to about `max_bytes`, and whether more
    /// items follow. The pages of a list are not one snapshot: the changes after the revision of the first page complete
    /// them.
    ///
    /// # Errors
    ///
    /// As for `list`.
    pub fn page(
        &self,
        after: &str,
        max_bytes: u64,
        max_age_ms: u64,
    ) -> Result<(Changes, bool), SourceError> {
        let state = self.state();
        let age_ms = state.age_ms(self.clock.now_ms(), max_age_ms)?;
        let mut items = state.items_after(0);
        items.retain(|item| &*item.key > after);
        items.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        let mut size_bytes = 0;
        let mut is_in_page = |item: &Change| {
            let is_first = size_bytes == 0;
            size_bytes += item.wire_bytes();
            is_first || size_bytes <= max_bytes
        };
        let count = items.iter().take_while(|item| is_in_page(item)).count();
        let has_more = count < items.len();
        items.truncate(count);
        Ok((state.answer(items, age_ms), has_more))
    }

    /// Size of a list of all items.
    pub fn wire_bytes(&self) -> u64 {
        self.state().items_after(0).iter().map(Change::wire_bytes).sum()
    }

    /// Waits up to `wait_ms` for changes after `revision`, and returns them.
    ///
    /// # Errors
    ///
    /// `Outdated` as soon as the items have not been confirmed as the latest ones within `max_age_ms`; `Compacted` if
    /// removals after `revision` were forgotten, or the service was restored from a copy in the meantime.
    pub async fn watch(
        &self,
        revision: u64,
        wait_ms: u64,
        max_age_ms: u64,
    ) -> Result<Changes, SourceError> {
        let mut updates = self.updates.subscribe();
        let deadline_ms = self.clock.now_ms() + wait_ms;
        let era = self.era();
        loop {
            updates.mark_unchanged();
            let fresh_until_ms = {
                let state = self.state();
                let now_ms = self.clock.now_ms();
                let age_ms = state.age_ms(now_ms, max_age_ms)?;
                if state.has_forgotten(revision) || state.era != era {
                    return Err(SourceError::Compacted);
                }
                let changes = state.changes_after(revision);
                if !changes.is_empty() || now_ms >= deadline_ms {
                    return Ok(state.answer(changes, age_ms));
                }
                now_ms + max_age_ms - age_ms
            };
            let wake = Instant::from_std(self.clock.instant_at(deadline_ms.min(fresh_until_ms)));
            // Both outcomes lead to another look at the state.
            let _ = tokio::time::timeout_at(wake, updates.changed()).await;
        }
    }

    /// Changes the items, which were the latest ones `age_ms` ago; `None` if that is not known.
    fn update(&self, age_ms: Option<u64>, change: impl FnOnce(&mut State)) {
        let mut state = self.state();
        change(&mut state);
        if let Some(age_ms) = age_ms {
            state.confirmed_ms = Some(self.clock.now_ms() as i64 - age_ms.min(MAX_AGE_MS) as i64);
        }
        drop(state);
        self.updates.send_replace(());
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    /// Time since the items were known to be the latest ones.
    ///
    /// # Errors
    ///
    /// `Outdated` if that is not shorter than `max_age_ms`.
    fn age_ms(&self, now_ms: u64, max_age_ms: u64) -> Result<u64, SourceError> {
        let confirmed_ms = self.confirmed_ms.ok_or(SourceError::Outdated)?;
        let age_ms = (now_ms as i64 - confirmed_ms).max(0) as u64;
        if age_ms < max_age_ms { Ok(age_ms) } else { Err(SourceError::Outdated) }
    }

    fn answer(&self, changes: Vec<Change>, age_ms: u64) -> Changes {
        Changes { changes, era: self.era, revision: self.revision, age_ms }
    }

    fn write(&mut self, changes: &[Change], is_same: IsSame) {
        for change in changes {
            let Some(value) = &change.value else {
                self.remove(change.key.clone(), change.revision);
                continue;
            };
            match self.items.get_mut(&change.key) {
                Some((old, _)) if is_same(&change.key, old, value) => *old = value.clone(),
                Some(item) => *item = (value.clone(), change.revision),
                None => {
                    self.items.insert(change.key.clone(), (value.clone(), change.revision));
                }
            }
        }
    }

    /// Removes a key, and remembers the removal also if the key is missing: a reader of another cache may have it.
    fn remove(&mut self, key: Box<str>, revision: u64) {
        self.items.remove(&key);
        self.removals.push_back((key, revision));
        if self.removals.len() > MAX_REMOVALS
            && let Some((_, forgotten)) = self.removals.pop_front()
        {
            self.forgotten_removals = self.forgotten_removals.max(forgotten);
        }
    }

    /// Applies a list of all items as the changes since the last read.
    fn merge(&mut self, list: &Changes, is_same: IsSame) {
        let listed: HashSet<&str> = list.changes.iter().map(|item| &*item.key).collect();
        let missing = self.items.keys().filter(|key| !listed.contains(&***key));
        let mut missing: Vec<Box<str>> = missing.cloned().collect();
        missing.sort_unstable();
        for key in missing {
            self.remove(key, list.revision);
        }
        self.write(&list.changes, is_same);
        if list.revision > self.revision {
            self.gaps.push_back((self.revision, list.revision));
        }
        if self.gaps.len() > MAX_GAPS
            && let Some((_, end)) = self.gaps.pop_front()
        {
            self.forgotten_removals = self.forgotten_removals.max(end);
        }
        self.revision = list.revision;
    }

    /// Whether a reader that continues after `revision` may have an item whose removal is not remembered.
    fn has_forgotten(&self, revision: u64) -> bool {
        let is_in = |&(start, end): &(u64, u64)| start < revision && revision < end;
        self.is_superseded || revision < self.forgotten_removals || self.gaps.iter().any(is_in)
    }

    fn items_after(&self, revision: u64) -> Vec<Change> {
        let newer = self.items.iter().filter(|(_, (_, changed))| *changed > revision);
        let mut items: Vec<Change> = newer
            .map(|(key, (value, changed))| Change {
                key: key.clone(),
                value: Some(value.clone()),
                revision: *changed,
            })
            .collect();
        items.sort_by_key(|item| item.revision);
        items
    }

    /// Writes and removals after `revision`, in the order of their revisions.
    fn changes_after(&self, revision: u64) -> Vec<Change> {
        let removed = self.removals.iter().filter(|(_, removed)| *removed > revision);
        let mut changes: Vec<Change> = removed
            .filter(|(key, _)| !self.items.contains_key(key))
            .map(|(key, removed)| Change { key: key.clone(), value: None, revision: *removed })
            .collect();
        changes.extend(self.items_after(revision));
        changes.sort_by_key(|change| change.revision);
        changes
    }
}

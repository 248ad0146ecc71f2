//! Instances that have left or are leaving, which an older copy of the platform's store may list as ready.

use crate::instance_entry::{InstanceEntry, InstanceId};
use base::{HashMap, HashSet};
use std::collections::VecDeque;

/// Largest number of instances that have left and are remembered.
const MAX_LEFT: usize = 4_096;

/// What to make of a registry entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// The entry is valid as it is written.
    Current,
    /// The entry precedes the instance's report that it is draining.
    Draining,
    /// The entry precedes the instance's departure, or is of an earlier run of its process.
    Left,
}

/// Last known state of each instance, by which entries of an older copy are recognized.
///
/// Within one era of the store, its latest answer is right. After a restoration, the copy may hold the entry of an
/// instance from before it began to drain or left. Such an entry has a revision that was known already, while an
/// instance that lives writes its entry again.
#[derive(Debug, Default)]
pub struct Departures {
    known: HashMap<InstanceId, Known>,
    /// Instances that have left, the first one first. Some of them may have come back.
    left: VecDeque<InstanceId>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    started_unix_ms: Option<u64>,
    /// Revision of the last entry before the instance began to drain or left.
    revision: u64,
    state: State,
    /// Whether the state was learned before the last restoration of the store.
    is_of_earlier_era: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Ready,
    Draining,
    Left,
}

impl Departures {
    /// Begins a new era, after the store was restored from an older copy.
    pub fn begin_era(&mut self) {
        for known in self.known.values_mut() {
            known.is_of_earlier_era = true;
        }
    }

    /// Judges the entry of an instance in a list of all items.
    pub fn judge_listed(&mut self, entry: &InstanceEntry, revision: u64) -> Standing {
        let standing = match self.known.get(&entry.id) {
            Some(known) if known.is_of_earlier_era && !entry.is_draining => {
                known.standing_of_ready(entry, revision)
            }
            _ => Standing::Current,
        };
        if standing == Standing::Current {
            self.record(entry, revision);
        }
        standing
    }

    /// Judges an entry that the instance has written since the last list. Only a lifetime that has begun to drain never
    /// becomes ready again.
    pub fn judge_written(&mut self, entry: &InstanceEntry, revision: u64) -> Standing {
        let known = self.known.get(&entry.id);
        let has_drained = known.is_some_and(|known| {
            known.is_of_earlier_era && known.state == State::Draining && known.is_same_run(entry)
        });
        if has_drained && !entry.is_draining {
            return Standing::Draining;
        }
        self.record(entry, revision);
        Standing::Current
    }

    /// Records that the store has removed the entry of an instance.
    pub fn record_removal(&mut self, id: &str) {
        let Some((id, known)) = self.known.get_key_value(id) else { return };
        if known.state == State::Left {
            return;
        }
        let (id, known) = (InstanceId::clone(id), *known);
        self.left.push_back(InstanceId::clone(&id));
        self.known.insert(id, Known { state: State::Left, is_of_earlier_era: false, ..known });
        if self.left.len() > MAX_LEFT
            && let Some(oldest) = self.left.pop_front()
            && self.known.get(&oldest).is_some_and(|known| known.state == State::Left)
        {
            self.known.remove(&oldest);
        }
    }

    /// Records the removal of all instances that a list of all items lacks. Do not call it for the first list of an era,
    /// which may lack instances only because it is old.
    pub fn record_missing(&mut self, listed: &HashSet<&str>) {
        let missing: Vec<InstanceId> =
            self.known.keys().filter(|id| !listed.contains(&***id)).cloned().collect();
        for id in missing {
            self.record_removal(&id);
        }
    }

    fn record(&mut self, entry: &InstanceEntry, revision: u64) {
        let state = if entry.is_draining { State::Draining } else { State::Ready };
        let known = Known {
            started_unix_ms: entry.started_unix_ms,
            revision,
            state,
            is_of_earlier_era: false,
        };
        self.known.insert(InstanceId::clone(&entry.id), known);
    }
}

impl Known {
    /// Judges an entry that says ready, by a state that was learned before the restoration.
    fn standing_of_ready(&self, entry: &InstanceEntry, revision: u64) -> Standing {
        let is_old = revision <= self.revision && self.started_unix_ms == entry.started_unix_ms;
        if self.started_unix_ms.zip(entry.started_unix_ms).is_some_and(|(known, old)| old < known) {
            return Standing::Left;
        }
        match self.state {
            State::Draining if is_old || self.is_same_run(entry) => Standing::Draining,
            State::Left if is_old => Standing::Left,
            State::Ready | State::Draining | State::Left => Standing::Current,
        }
    }

    /// Whether the entry is known to be of the same run of the instance's process.
    fn is_same_run(&self, entry: &InstanceEntry) -> bool {
        self.started_unix_ms.is_some() && self.started_unix_ms == entry.started_unix_ms
    }
}

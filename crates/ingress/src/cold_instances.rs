//! Instances that are still slow after their start.

use crate::instance_entry::{InstanceEntry, InstanceId};
use base::HashMap;

/// Largest number of instances that are kept. Those that have been warm for the longest time are dropped.
const MAX_INSTANCES: usize = 4_096;

/// Instances that are still slow after their start, as far as their entries state.
///
/// An entry states the time that was left when it was written, and may not be written again before that time is over. So the
/// earliest end that any entry of a run has stated holds.
#[derive(Debug, Default)]
pub struct ColdInstances {
    runs: HashMap<InstanceId, Run>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    started_unix_ms: Option<u64>,
    warm_at_ms: u64,
}

impl ColdInstances {
    /// Takes note of an entry that was read at `now_ms`.
    pub fn record(&mut self, entry: &InstanceEntry, now_ms: u64) {
        let warm_at_ms = now_ms.saturating_add(entry.cold_remaining_ms);
        let started_unix_ms = entry.started_unix_ms;
        match self.runs.get_mut(&entry.id) {
            Some(run) if run.started_unix_ms == started_unix_ms => {
                run.warm_at_ms = run.warm_at_ms.min(warm_at_ms);
            }
            None if entry.cold_remaining_ms == 0 => {}
            _ => {
                self.runs.insert(entry.id.clone(), Run { started_unix_ms, warm_at_ms });
                self.trim();
            }
        }
    }

    /// Whether an instance is still slow.
    pub fn is_cold(&self, id: &str, now_ms: u64) -> bool {
        self.runs.get(id).is_some_and(|run| now_ms < run.warm_at_ms)
    }

    fn trim(&mut self) {
        if self.runs.len() > MAX_INSTANCES
            && let Some(oldest) = self.runs.iter().min_by_key(|(_, run)| run.warm_at_ms)
        {
            let id = oldest.0.clone();
            self.runs.remove(&id);
        }
    }
}

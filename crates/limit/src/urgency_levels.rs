//! Urgency levels of the streams of one service.

use crate::{
    engine_load::URGENCY_LEVELS, request_priority::RequestPriority, stream_class::StreamClass,
};

/// Urgency levels of a service whose streams can have different priorities.
///
/// A level is the priority of the client account, moved as far as it takes to tell different priorities apart. Engines
/// distinguish `URGENCY_LEVELS`; if there are more priorities, neighbours share a level.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UrgencyLevels {
    /// At least two different priorities with their levels, the most urgent one first.
    levels: Box<[(RequestPriority, u8)]>,
}

impl UrgencyLevels {
    /// Creates the levels from the priorities that streams can have; `None` if all of them are the same.
    pub fn new(priorities: impl IntoIterator<Item = RequestPriority>) -> Option<Self> {
        let mut priorities: Vec<_> = priorities.into_iter().collect();
        priorities.sort_unstable();
        priorities.dedup();
        let count = priorities.len();
        if count < 2 {
            return None;
        }
        let mut lowest = 0;
        let levels = priorities.into_iter().enumerate().map(|(rank, priority)| {
            let level = match URGENCY_LEVELS.checked_sub(count) {
                Some(spare) => {
                    usize::from(priority.account().level()).max(lowest).min(rank + spare)
                }
                None => rank * URGENCY_LEVELS / count,
            };
            lowest = level + 1;
            (priority, level as u8)
        });
        Some(Self { levels: levels.collect() })
    }

    /// Urgency level of a stream, from 0, the most urgent one, to 9.
    pub fn level(&self, priority: RequestPriority) -> u8 {
        self.levels[self.rank(priority)].1
    }

    /// Class of a stream among all streams of the service.
    pub fn class(&self, priority: RequestPriority) -> StreamClass {
        match self.rank(priority) {
            0 => StreamClass::MostUrgent,
            rank if rank + 1 == self.levels.len() => StreamClass::LeastUrgent,
            _ => StreamClass::Middle,
        }
    }

    /// Number of more urgent priorities. One that the configuration does not state, as that of a stream which began under
    /// another configuration, counts like the next less urgent one.
    fn rank(&self, priority: RequestPriority) -> usize {
        let before = self.levels.partition_point(|&(other, _)| other < priority);
        before.min(self.levels.len() - 1)
    }
}

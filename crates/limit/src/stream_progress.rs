//! Progress of a stream against its targets, which decides on its place in the queue of its daemon.

use crate::priority::Priority;

/// Least urgent level of a stream that can be in time. The two levels below it are for late ones.
const LAST_IN_TIME_LEVEL: u8 = 7;

/// Level of a late stream of more than the default priority.
const LATE_PREFERRED_LEVEL: u8 = 8;

/// Level of any other late stream.
const LATE_LEVEL: u8 = 9;

/// Progress of a stream against its targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamProgress {
    /// The stream has no event yet, and its first one can still be in time.
    New,
    /// The stream has events and has met its targets so far. Its next event is due sooner than that of a new stream.
    Begun,
    /// The stream has missed a target. It must not delay streams that can be in time.
    Late,
}

impl StreamProgress {
    /// Level in the queue of a daemon, from 0 (first) to 9, of a stream with the given priority. A late stream of any
    /// priority is less urgent than every stream that can be in time.
    pub fn queue_level(self, priority: Priority) -> u8 {
        let level = priority.level().min(LAST_IN_TIME_LEVEL);
        match self {
            Self::New => level,
            Self::Begun => level.saturating_sub(1),
            Self::Late if priority < Priority::default() => LATE_PREFERRED_LEVEL,
            Self::Late => LATE_LEVEL,
        }
    }
}

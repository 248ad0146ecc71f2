//! When a daemon tells others the verdict of a rollout.

use crate::audience::Audience;

/// Number of times that a verdict is sent to all daemons.
const BROADCASTS: u32 = 3;

/// When a daemon tells others the verdict of a rollout.
#[derive(Debug)]
pub(crate) struct VerdictMessages {
    interval_ms: u64,
    /// Delay of the first message to the judges. All daemons learn of the verdict at once, and their messages must not
    /// arrive at the judges at once.
    delay_ms: u64,
    sent: u32,
    sent_ms: u64,
}

impl VerdictMessages {
    /// Creates the schedule of messages that are `interval_ms` apart. `seed` is random and independent between daemons.
    pub fn new(interval_ms: u64, seed: u64) -> Self {
        Self { interval_ms, delay_ms: seed % interval_ms.max(1), sent: 0, sent_ms: 0 }
    }

    /// Whether a judge still has to tell all daemons.
    pub fn has_broadcasts_left(&self) -> bool {
        self.sent < BROADCASTS
    }

    /// Whether a message to `audience` is due, if the verdict is known since `since_ms`. Records it as sent if it is.
    pub fn take_due(&mut self, audience: Audience, since_ms: u64, now_ms: u64) -> bool {
        let due_ms = match (audience, self.sent) {
            (Audience::All, 0) => now_ms,
            (Audience::Judges, 0) => since_ms + self.delay_ms,
            _ => self.sent_ms + self.interval_ms,
        };
        if now_ms < due_ms {
            return false;
        }
        self.sent += 1;
        self.sent_ms = now_ms;
        true
    }
}

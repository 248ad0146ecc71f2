//! Decides how the pending faults change each token event that an engine sends.

use crate::engine::fault::EngineFault;

/// Pending faults: number of token events that each kind still affects.
#[derive(Debug, Default)]
pub(super) struct EventFaults {
    malformed: u32,
    duplicate: u32,
    skip: u32,
    cross: u32,
}

/// How to send a token event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EventAction {
    /// Sends the event unchanged.
    Send,
    /// Sends data that is not JSON instead of the event.
    SendMalformed,
    /// Sends the event twice.
    SendTwice,
    /// Does not send the event.
    Omit,
    /// Sends the event with the id of another request.
    SendCrossed,
}

impl EventFaults {
    /// Adds a fault of token events, or clears all of them on `restore`. Other kinds are ignored.
    pub fn add(&mut self, fault: EngineFault) {
        match fault {
            EngineFault::Malformed { events } => self.malformed += events,
            EngineFault::Duplicate { events } => self.duplicate += events,
            EngineFault::Skip { events } => self.skip += events,
            EngineFault::Cross { events } => self.cross += events,
            EngineFault::Restore => *self = Self::default(),
            _ => {}
        }
    }

    /// Returns how to send the next token event, and decrements the number of events that its fault still affects.
    pub fn next_action(&mut self) -> EventAction {
        let pending = [
            (&mut self.malformed, EventAction::SendMalformed),
            (&mut self.duplicate, EventAction::SendTwice),
            (&mut self.skip, EventAction::Omit),
            (&mut self.cross, EventAction::SendCrossed),
        ];
        for (count, action) in pending {
            if *count > 0 {
                *count -= 1;
                return action;
            }
        }
        EventAction::Send
    }
}

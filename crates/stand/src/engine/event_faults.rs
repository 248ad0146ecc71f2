//! Pending faults of token events.

use crate::engine::fault::EngineFault;

/// Number of token events that each kind of fault still has to hit.
#[derive(Debug, Default)]
pub(super) struct EventFaults {
    malformed: u32,
    duplicate: u32,
    skip: u32,
    cross: u32,
}

/// What happens to one token event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EventTreatment {
    Send,
    Malform,
    SendTwice,
    Omit,
    Cross,
}

impl EventFaults {
    /// Adds a fault; other kinds than those of events change nothing.
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

    /// Treatment of the next token event.
    pub fn next(&mut self) -> EventTreatment {
        let pending = [
            (&mut self.malformed, EventTreatment::Malform),
            (&mut self.duplicate, EventTreatment::SendTwice),
            (&mut self.skip, EventTreatment::Omit),
            (&mut self.cross, EventTreatment::Cross),
        ];
        for (count, treatment) in pending {
            if *count > 0 {
                *count -= 1;
                return treatment;
            }
        }
        EventTreatment::Send
    }
}

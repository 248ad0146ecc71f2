//! What the recorder of a daemon does next.

use crate::{complete_era::CompleteEra, record_item::RecordBatch, service_version::ServiceVersion};

/// What the recorder of a daemon does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Creates the item of a version, unless it exists.
    Register(ServiceVersion),
    /// Removes the item of a version, if its revision is still the given one.
    Unregister(ServiceVersion, u64),
    /// Writes the item that states in which era the registered versions are complete, if its revision is still the given
    /// one; 0 stands for no item.
    StateComplete(CompleteEra, u64),
    /// Writes records of streams.
    Write(RecordBatch),
    /// Waits until the given time, or until something changes.
    Wait(u64),
}

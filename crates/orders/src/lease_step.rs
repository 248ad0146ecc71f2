//! Steps of the lease state machine.

use crate::fence_record::FenceRecord;

/// Step that the driver of a lease has to perform next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Do nothing until this time in milliseconds.
    Wait(u64),
    /// Read the holder key.
    ReadHolder,
    /// Read the fence.
    ReadFence,
    /// Request a lease.
    Grant,
    /// Create the holder key, bound to the lease with this identifier. The write must fail if the key exists.
    WriteHolder(u64),
    /// Write this record to the fence. The write must fail if the fence isn't at the given revision.
    WriteFence(FenceRecord, u64),
    /// Extend the lease with this identifier.
    KeepAlive(u64),
}

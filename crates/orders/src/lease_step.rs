//! What the driver of a lease does next.

use crate::fence_record::FenceRecord;

/// Next step of a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Nothing before this time.
    Wait(u64),
    /// Read the holder's key.
    ReadHolder,
    /// Read the fence.
    ReadFence,
    /// Ask for a lease.
    Grant,
    /// Create the holder's key under the lease; it must not exist.
    WriteHolder(u64),
    /// Write the fence over the expected revision.
    WriteFence(FenceRecord, u64),
    /// Extend the lease.
    KeepAlive(u64),
}

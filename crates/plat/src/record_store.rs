//! Trait for items that several processes write and remove without a lease.

use crate::{
    announce::LeaseClient,
    source::{Source, SourceError},
};

/// Reads and writes items of a key-value service that belong to no single process. Each method makes exactly one call to
/// the service, and none retries.
pub trait RecordStore: LeaseClient + Source {
    /// Writes an item without a lease if `expected_revision` is that of its last change; 0 stands for a key that does not
    /// exist. Returns the new revision; `None` if the item has another revision.
    fn replace(
        &mut self,
        key: &str,
        value: &str,
        expected_revision: u64,
    ) -> impl Future<Output = Result<Option<u64>, SourceError>> + Send;

    /// Removes an item if `revision` is that of its last change, and otherwise does nothing.
    fn remove(
        &mut self,
        key: &str,
        revision: u64,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;
}

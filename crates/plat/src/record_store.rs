//! Trait for items that several processes write and remove without a lease.

use crate::{
    announce::LeaseClient,
    source::{Source, SourceError},
};

/// Reads and writes items of a key-value service that belong to no single process. Each method makes exactly one call to
/// the service, and none retries.
pub trait RecordStore: LeaseClient + Source {
    /// Creates an item without a lease, unless its key exists. Returns the revision of the item; `None` if the key exists.
    fn create(
        &mut self,
        key: &str,
        value: &str,
    ) -> impl Future<Output = Result<Option<u64>, SourceError>> + Send;

    /// Removes an item if `revision` is that of its last change, and otherwise does nothing.
    fn remove(
        &mut self,
        key: &str,
        revision: u64,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;
}

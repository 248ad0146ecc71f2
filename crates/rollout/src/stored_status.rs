//! Status of a service in the store.

use crate::status::RolloutStatus;

/// Status of a service in the store.
#[derive(Debug)]
pub(crate) struct StoredStatus {
    /// Status; `None` if there is none that can be read.
    pub status: Option<RolloutStatus>,
    /// Revision of the item; 0 if there is none.
    pub revision: u64,
}

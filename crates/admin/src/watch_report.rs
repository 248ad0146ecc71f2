//! Response to `GET /admin/v1/watch`.

use serde::{Deserialize, Serialize};

/// Result of a wait for a newer configuration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchReport {
    /// Revision that is active at the daemon at the end of the wait, even if it is not newer.
    pub revision: u64,
}

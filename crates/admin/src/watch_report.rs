//! Answer to a watch.

use serde::{Deserialize, Serialize};

/// Revision in force at the daemon after the wait.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchReport {
    /// Revision.
    pub revision: u64,
}

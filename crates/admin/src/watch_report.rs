//! Response to a watch.

use serde::{Deserialize, Serialize};

/// Active revision at the daemon at the end of the wait.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchReport {
    /// Revision of the configuration.
    pub revision: u64,
}

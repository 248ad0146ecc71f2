//! Measurements of the fleet.

use crate::burn_digest::BurnDigest;
use base::VmId;
use serde::{Deserialize, Serialize};

/// Merged measurements of all entries that answered.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FleetDigest {
    /// Time of the report in seconds since the Unix epoch.
    pub unix_s: u64,
    /// Entries whose measurements `digest` contains.
    pub entries: Vec<VmId>,
    /// Live entries that did not answer in time.
    pub missing: Vec<VmId>,
    /// Whether the list of entries could be read. If not, measurements of entries that `missing` does not name may also
    /// be missing.
    pub is_list_known: bool,
    /// Merged measurements.
    pub digest: BurnDigest,
}

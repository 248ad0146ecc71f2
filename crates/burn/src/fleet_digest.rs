//! Merged measurements of the fleet.

use crate::burn_digest::BurnDigest;
use base::VmId;
use serde::{Deserialize, Serialize};

/// Merged measurements of the entries that answered.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FleetDigest {
    /// Time of the report since the Unix epoch.
    pub unix_s: u64,
    /// Entries whose measurements are in `digest`.
    pub entries: Vec<VmId>,
    /// Live entries that did not answer in time.
    pub missing: Vec<VmId>,
    /// Whether the list of entries was read; otherwise entries may be missing that are not named.
    pub is_list_known: bool,
    /// Measurements.
    pub digest: BurnDigest,
}

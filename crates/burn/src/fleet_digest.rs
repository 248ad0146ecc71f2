//! Measurements that are collected from the whole fleet.

use crate::burn_digest::BurnDigest;
use base::VmId;
use serde::{Deserialize, Serialize};

/// Merged measurements of all entries (daemons that serve callers) that answered.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FleetDigest {
    /// Time at which the measurements were collected, in seconds since the Unix epoch.
    pub unix_s: u64,
    /// Entries whose measurements `digest` contains.
    pub entries: Vec<VmId>,
    /// Listed entries without measurements: they publish no address, did not answer in time or refused the request.
    pub missing: Vec<VmId>,
    /// Whether the platform's list of entries could be read. If it could not, measurements of entries that `missing`
    /// does not name may also be missing.
    pub is_list_known: bool,
    /// Merged measurements of all services.
    pub digest: BurnDigest,
}

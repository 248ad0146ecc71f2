//! Options of the orders of a daemon.

use crate::{lease_timing::LeaseTiming, load_pacing::LoadPacing};
use base::VmId;

/// Options of the orders of a daemon.
#[derive(Clone, Debug)]
pub struct OrdersOptions {
    /// This daemon, as the holder's key names it.
    pub vm_id: VmId,
    /// Durations of the lease.
    pub timing: LeaseTiming,
    /// Bounds on loads.
    pub pacing: LoadPacing,
    /// Time between two reads of engines under the stricter rules.
    pub interval_ms: u64,
    /// Key that authenticates orders, where the upstreams check it.
    pub sender_key: Option<Box<str>>,
}

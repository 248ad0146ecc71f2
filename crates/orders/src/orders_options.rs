//! Options of the orders component.

use crate::{lease_timing::LeaseTiming, load_pacing::LoadPacing};
use base::VmId;

/// Options of the orders that a daemon sends.
#[derive(Clone, Debug)]
pub struct OrdersOptions {
    /// VM of this daemon, which the holder key names.
    pub vm_id: VmId,
    /// Durations of the leases, and timeout of the orders.
    pub timing: LeaseTiming,
    /// Limits of loads and unloads.
    pub pacing: LoadPacing,
    /// Interval of the reads of engine states under the stricter `OrderRules`, in milliseconds.
    pub interval_ms: u64,
    /// Bearer key that authenticates orders at upstreams that check the sender.
    pub sender_key: Option<Box<str>>,
}

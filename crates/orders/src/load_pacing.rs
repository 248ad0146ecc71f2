//! Bounds on loads from the weight store.

/// Bounds on the loads of a service and on unloading.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadPacing {
    /// Engines that may load at a time.
    pub max_loads: usize,
    /// Shortest time between two orders that load.
    pub load_interval_ms: u64,
    /// How long an order to load counts as a load before the engine shows it; at least the time that an order is under
    /// way.
    pub pending_timeout_ms: u64,
    /// How long an engine that cannot be read counts as a load.
    pub unknown_timeout_ms: u64,
    /// How long a version must have been without pinned generations before it is unloaded.
    pub unload_delay_ms: u64,
    /// Percentage of engines that must have a version before new generations use it.
    pub shift_pct: usize,
}

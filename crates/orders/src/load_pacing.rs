//! Pacing of the loads from the weight store.

/// Limits of the loads and unloads of a service. All durations are in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadPacing {
    /// Maximum number of engines that load at the same time.
    pub max_loads: usize,
    /// Minimum time between two orders that load.
    pub load_interval_ms: u64,
    /// Longest time for which an order to load counts as a load if the engine doesn't report the load. It must be at
    /// least the maximum time that an order is in flight.
    pub pending_timeout_ms: u64,
    /// Time for which an engine whose state cannot be read counts as a load.
    pub unknown_timeout_ms: u64,
    /// Time without pinned generations after which a version is unloaded.
    pub unload_delay_ms: u64,
    /// Percentage of the readable engines that must serve a version before new generations use it.
    pub shift_pct: usize,
}

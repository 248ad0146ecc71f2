//! Section `[orders]` of the settings file: orders to engines to load and unload versions.

use crate::{
    secret::Secret,
    section::{Section, Source},
};
use toml::de::DeTable;

/// Settings of the orders to engines. Without the section, the daemon sends no orders, and new generations use the
/// configured version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrdersSettings {
    /// Duration of the lease on a service after its last keep-alive. Only the holder of the lease sends orders to the
    /// service's engines.
    pub lease_ms: u64,
    /// Timeout for an engine's answer to an order, or to a read of its state.
    pub order_timeout_ms: u64,
    /// Time between two reads of an engine's state. It is doubled for engines that check the fencing token and
    /// authenticate orders.
    pub interval_ms: u64,
    /// Maximum number of engines of a service that load a version at the same time.
    pub max_loads: u64,
    /// Minimum time between two load orders of a service.
    pub load_interval_ms: u64,
    /// Time after which a version is unloaded if no generation is pinned to it.
    pub unload_delay_ms: u64,
    /// Percentage of engines that must have a version before new generations use it.
    pub shift_pct: u64,
    /// Key by which engines authenticate the orders of this system; `None` if orders carry no key.
    pub sender_key: Option<Secret>,
}

impl Default for OrdersSettings {
    fn default() -> Self {
        Self {
            lease_ms: 9_000,
            order_timeout_ms: 1_000,
            interval_ms: 1_000,
            max_loads: 2,
            load_interval_ms: 1_000,
            // A generation whose entry VM failed can be resumed for 300 s. Until it is resumed, no version is pinned
            // for it.
            unload_delay_ms: 300_000,
            shift_pct: 80,
            sender_key: None,
        }
    }
}

impl OrdersSettings {
    /// Reads the section. Returns `None` if it is absent.
    pub(crate) fn read(root: &mut DeTable<'_>, source: &mut Source<'_>) -> Option<Self> {
        if !root.contains_key("orders") {
            return None;
        }
        let default = Self::default();
        let mut section = Section::open("orders", root, source);
        let mut integer = |key, allowed, default| section.integer(key, allowed, default, source);
        let settings = Self {
            lease_ms: integer("lease_ms", 1_000..=60_000, default.lease_ms),
            order_timeout_ms: integer("order_timeout_ms", 50..=10_000, default.order_timeout_ms),
            interval_ms: integer("interval_ms", 100..=60_000, default.interval_ms),
            max_loads: integer("max_loads", 1..=1_000, default.max_loads),
            load_interval_ms: integer("load_interval_ms", 1..=600_000, default.load_interval_ms),
            unload_delay_ms: integer("unload_delay_ms", 0..=3_600_000, default.unload_delay_ms),
            shift_pct: integer("shift_pct", 1..=100, default.shift_pct),
            sender_key: None,
        };
        let sender_key = section.optional("sender_key", "text", source);
        section.close(source);
        Some(Self { sender_key, ..settings })
    }
}

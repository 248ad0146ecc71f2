//! Section `[orders]`.

use crate::{
    secret::Secret,
    section::{Section, Source},
};
use toml::de::DeTable;

/// Orders to engines. Without the section a daemon sends none, and new generations use the configured version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrdersSettings {
    /// Time after the last keep-alive at which the lease of a service's holder ends.
    pub lease_ms: u64,
    /// Longest wait for an engine's answer to an order or a read.
    pub order_timeout_ms: u64,
    /// Time between two reads of all engines that ignore the fencing token or do not authenticate orders.
    pub interval_ms: u64,
    /// Engines of a service that may load at a time.
    pub max_loads: u64,
    /// Shortest time between two orders of a service that load.
    pub load_interval_ms: u64,
    /// How long a version must have been without pinned generations before it is unloaded.
    pub unload_delay_ms: u64,
    /// Percentage of engines that must have a version before new generations use it.
    pub shift_pct: u64,
    /// Key that authenticates orders at engines that check it.
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
            // An unfinished generation can be resumed for 300 s after its entry died, and is pinned nowhere until then.
            unload_delay_ms: 300_000,
            shift_pct: 80,
            sender_key: None,
        }
    }
}

impl OrdersSettings {
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

//! Configuration in force.

use crate::route_table::RouteTable;
use base::{AccountName, HashMap, ServiceName};

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version; it only grows.
    pub version: u64,
    /// Routes.
    pub routes: RouteTable,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceConfig>,
    /// Limits for callers.
    pub limits: ClientLimits,
    /// Client accounts by key; none if requests need no key.
    pub accounts: Option<HashMap<Box<str>, ClientAccount>>,
}

/// What is known of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceConfig {
    /// Rules of the model engines; none for a plain service.
    pub engine: Option<EngineConfig>,
}

/// Properties of a service's model engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineConfig {
    /// Tokens that an engine's memory holds.
    pub kv_cache_tokens: u64,
    /// Whether an engine copies the memory of a run to another engine while it grows.
    pub replicates_kv: bool,
    /// Whether an engine copies the memory of a run to another engine when it is asked to.
    pub snapshots_kv: bool,
    /// Time for which a copy that was asked for is kept at least.
    pub snapshot_ttl_ms: u64,
}

/// Limits for callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Largest size of all headers of a request.
    pub max_headers_bytes: usize,
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a request to the end of its headers.
    pub headers_timeout_ms: u64,
    /// Longest time for which a connection may stay without a request.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_headers_bytes: 32 * 1024,
            max_body_bytes: 1024 * 1024,
            headers_timeout_ms: 15_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Client account of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientAccount {
    /// Name that the upstream is told.
    pub name: AccountName,
}

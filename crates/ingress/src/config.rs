//! Configuration of routes, services, limits and client accounts.

use crate::{
    core::CoreOptions,
    route_table::{Route, RouteTable},
};
use base::{AccountName, HashMap, ServiceName};
use limit::{Priority, RequestPriority, UrgencyLevels};
use std::sync::Arc;
use web::ServerLimits;

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Number of the version; each new configuration has a higher one.
    pub version: u64,
    /// Routes that requests are matched with.
    pub routes: RouteTable,
    /// Properties of the services, by name. A service that is missing here has no engines.
    pub services: HashMap<ServiceName, ServiceConfig>,
    /// Paths of the health checks of services, by name.
    pub health_paths: HashMap<ServiceName, Box<str>>,
    /// Limits on the requests and connections of callers.
    pub limits: ClientLimits,
    /// Client accounts by key; `None` if no request needs a key.
    pub accounts: Option<HashMap<Box<str>, ClientAccount>>,
}

impl Config {
    /// Path of the health check of a service; `None` if the configuration states none.
    pub fn health_path(&self, service: &ServiceName) -> Option<&str> {
        self.health_paths.get(service).map(AsRef::as_ref)
    }

    /// Properties of a service; those of one without engines if it is unknown.
    pub fn service(&self, name: &ServiceName) -> ServiceConfig {
        self.services.get(name).cloned().unwrap_or_default()
    }

    /// Sets `ServiceConfig::urgency_levels` of all services by the priorities of their streaming routes and of the
    /// client accounts.
    pub fn mark_prioritized_services(&mut self) {
        let mut priorities: HashMap<ServiceName, Vec<RequestPriority>> = HashMap::default();
        for route in self.routes.streaming_routes() {
            let of_route = self.priorities_of(route);
            for (service, _) in route.services.iter().filter(|(_, weight)| *weight > 0) {
                priorities.entry(service.clone()).or_default().extend(&of_route);
            }
        }
        for (name, service) in &mut self.services {
            let found = priorities.remove(name).and_then(UrgencyLevels::new);
            service.urgency_levels = found.map(Arc::new);
        }
    }

    /// All priorities that requests of a route can have.
    fn priorities_of(&self, route: &Route) -> Vec<RequestPriority> {
        let priority = |account| RequestPriority::new(account, route.priority);
        let Some(accounts) = &self.accounts else { return vec![priority(None)] };
        let of_accounts = accounts.values().map(|account| priority(account.priority));
        of_accounts.chain(route.allows_anonymous.then(|| priority(None))).collect()
    }
}

/// Properties of one service that decide how its requests are served.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceConfig {
    /// Properties of the service's model engines; `None` for a service without engines.
    pub engine: Option<EngineConfig>,
    /// Urgency levels of the service's streaming requests; `None` if all of them have the same priority.
    pub urgency_levels: Option<Arc<UrgencyLevels>>,
}

impl ServiceConfig {
    /// Whether streams of the service wait in order, and are refused if they cannot be in time: its engines give
    /// reservations, or its streams have different priorities.
    pub fn schedules_streams(&self) -> bool {
        let has_holds = self.engine.is_some_and(|engine| engine.hold_ms > 0);
        self.engine.is_some() && (has_holds || self.urgency_levels.is_some())
    }
}

/// Properties of a service's model engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineConfig {
    /// Capacity of an engine's KV cache in tokens.
    pub kv_cache_tokens: u64,
    /// Whether an engine can replicate the KV cache of a running request to another engine continuously.
    pub replicates_kv: bool,
    /// Whether an engine can copy a snapshot of a running request's KV cache to another engine when asked to.
    pub snapshots_kv: bool,
    /// Minimum time for which an engine keeps a snapshot after it was created.
    pub snapshot_ttl_ms: u64,
    /// Longest time for which an engine reserves memory for a request that is to come; 0 if it gives no reservations.
    pub hold_ms: u64,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Largest total size of a request's headers.
    pub max_headers_bytes: usize,
    /// Largest size of a request's body.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a request to the end of its headers.
    pub headers_timeout_ms: u64,
    /// Longest time for which a connection may be idle.
    pub idle_timeout_ms: u64,
}

impl ClientLimits {
    /// Limits of the HTTP server for callers.
    pub(crate) fn server_limits(self, options: &CoreOptions) -> ServerLimits {
        ServerLimits {
            headers_timeout_ms: self.headers_timeout_ms,
            idle_timeout_ms: self.idle_timeout_ms,
            headers_size_bytes: self.max_headers_bytes,
            accept_after_stop_ms: options.accept_after_stop_ms,
            cut_after_stop_ms: Some(options.cut_after_stop_ms),
            caller_wait_after_stop_ms: None,
        }
    }
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

/// Client account that a key belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientAccount {
    /// Name of the account, which is sent to upstreams with each request.
    pub name: AccountName,
    /// Priority of the account's requests, which comes before that of the route; `None` if it has none.
    pub priority: Option<Priority>,
}

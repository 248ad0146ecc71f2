//! Routes, and the lookup of the route of a request by host and path.

use crate::route_kind::RouteKind;
use base::{HashMap, ServiceName};
use limit::Priority;
use rand::{Rng, RngExt};

/// Rule that maps requests to services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name of the route in logs.
    pub name: Box<str>,
    /// Host that requests must name, in lower case.
    pub host: Box<str>,
    /// Prefix that the path of a request must have. It begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// Whether requests may be retried, and how they are answered.
    pub kind: RouteKind,
    /// Timeout of a request, counted from its arrival.
    pub timeout_ms: u64,
    /// Time within which an answer, or the first event of a stream, should reach the caller.
    pub target_latency_ms: u64,
    /// Largest number of instances that one request may be sent to, including the first.
    pub max_attempts: u32,
    /// Services among which the requests are distributed, with their weights.
    pub services: Vec<(ServiceName, u32)>,
    /// Whether requests are accepted without a known key.
    pub allows_anonymous: bool,
    /// Priority of requests whose client account states none; `None` for the default one.
    pub priority: Option<Priority>,
}

impl Route {
    /// Picks a service at random by weight; `None` if no weight is above zero.
    pub fn pick_service(&self, rng: &mut impl Rng) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return None;
        }
        let mut draw = rng.random_range(0..total);
        for (service, weight) in &self.services {
            let weight = u64::from(*weight);
            if draw < weight {
                return Some(service);
            }
            draw -= weight;
        }
        None
    }
}

/// Table of all routes of a configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Routes of each host, longest prefix first.
    by_host: HashMap<Box<str>, Vec<Route>>,
}

impl RouteTable {
    /// Creates a table of the given routes, in any order.
    pub fn new(routes: Vec<Route>) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<Route>> = HashMap::default();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// Finds the route of `host` with the longest prefix of `path`. A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Services that answer with streams.
    pub fn streaming_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.streaming_routes().flat_map(|route| route.services.iter().map(|(service, _)| service))
    }

    /// Routes whose requests are answered with streams.
    pub fn streaming_routes(&self) -> impl Iterator<Item = &Route> {
        let routes = self.by_host.values().flatten();
        routes.filter(|route| matches!(route.kind, RouteKind::Streaming { .. }))
    }

    /// Number of routes of all hosts.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Whether the table has no route for any host.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

//! Routes by host and path.

use crate::route_kind::RouteKind;
use base::{HashMap, ServiceName};
use rand::{Rng, RngExt};

/// Rule that maps requests to services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name in logs.
    pub name: Box<str>,
    /// Host of the requests, in lower case.
    pub host: Box<str>,
    /// Beginning of the path; it begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may take.
    pub timeout_ms: u64,
    /// Time within which an answer is of full use to the caller.
    pub target_latency_ms: u64,
    /// Upstreams to which one request may be sent at most.
    pub max_attempts: u32,
    /// Services with the weights by which requests are shared out.
    pub services: Vec<(ServiceName, u32)>,
    /// Whether requests need no key.
    pub allows_anonymous: bool,
}

impl Route {
    /// Draws one of the services by weight; `None` if no weight is above zero.
    pub fn pick_service(&self, rng: &mut impl Rng) -> Option<&ServiceName> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        if total == 0 {
            return None;
        }
        let mut draw = rng.random_range(0..total);
        for (service, weight) in &self.services {
            if draw < *weight {
                return Some(service);
            }
            draw -= weight;
        }
        None
    }
}

/// All routes.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Routes of each host, longest prefix first.
    by_host: HashMap<Box<str>, Vec<Route>>,
}

impl RouteTable {
    /// Table of the given routes.
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

    /// The route with the longest prefix that begins `path`. A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

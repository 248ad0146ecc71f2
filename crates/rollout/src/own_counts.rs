//! What one daemon has counted since an order.

use crate::{
    answer::Answer, counts::Counts, instance_set::InstanceSet, new_request::NewRequest,
    route_counts::RouteCounts, route_key::RouteKey,
};
use base::HashMap;

/// Largest number of routes that are told apart, as many as fit into a datagram.
const MAX_ROUTES: usize = 16;

/// What one daemon has counted since an order.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnCounts {
    pub routes: HashMap<RouteKey, RouteCounts>,
    /// Instances of the target version that have answered.
    pub used: InstanceSet,
    /// Instances of the target version that have given bad answers.
    pub bad: InstanceSet,
}

impl OwnCounts {
    /// Creates the counts at the beginning of an order, with the answers of each route in the seconds before.
    pub fn new(before: Vec<(RouteKey, Counts)>) -> Self {
        let counts = |before| RouteCounts { before, ..RouteCounts::default() };
        let routes = before.into_iter().take(MAX_ROUTES).map(|(key, before)| (key, counts(before)));
        Self { routes: routes.collect(), ..Self::default() }
    }

    /// Key by which a route is counted.
    pub fn key_of(&self, route: RouteKey) -> RouteKey {
        match self.routes.contains_key(&route) || self.routes.len() < MAX_ROUTES {
            true => route,
            // Routes beyond the limit are counted with one that exists.
            false => self.routes.keys().copied().min().unwrap_or(route),
        }
    }

    /// Counts of a route.
    pub fn route(&mut self, route: RouteKey) -> &mut RouteCounts {
        self.routes.entry(self.key_of(route)).or_default()
    }

    /// Counts an answer of the target version (`is_target`) or of another one.
    pub fn count(&mut self, request: &NewRequest, answer: Answer, is_target: bool) {
        let counts = self.route(request.route);
        answer.add_to(if is_target { &mut counts.target } else { &mut counts.old });
        if is_target {
            self.used.insert(&request.instance);
        }
        if is_target && answer.is_bad() {
            self.bad.insert(&request.instance);
        }
    }
}

//! Choice of the requests that go to the target version.

use crate::{route_key::RouteKey, share_plan::SharePlan};
use base::{HashMap, stable_hash};

/// Largest credit of a route. More would send a series of requests to the target version.
const MAX_CREDIT: f64 = 2.0;

/// Choice of the requests that go to the target version, by systematic sampling with a random start on each route.
#[derive(Debug)]
pub(crate) struct Sampler {
    pub plan: SharePlan,
    /// Credit of each route, from which a request to the target version takes 1.
    credits: HashMap<RouteKey, f64>,
    seed: [u64; 2],
}

impl Sampler {
    /// Creates a sampler with the same share on all routes. `seed` is random and independent between daemons.
    pub fn new(share: f64, seed: [u64; 2]) -> Self {
        let plan = SharePlan { routes: HashMap::default(), others: share };
        Self { plan, credits: HashMap::default(), seed }
    }

    /// Share of the target version on a route.
    pub fn share(&self, route: RouteKey) -> f64 {
        self.plan.routes.get(&route).copied().unwrap_or(self.plan.others)
    }

    /// Gives all routes the same share.
    pub fn set_share(&mut self, share: f64) {
        self.plan.routes.clear();
        self.plan.others = share;
    }

    /// Draws whether a request on a route goes to the target version, whose share is `share`.
    pub fn draw(&mut self, route: RouteKey, share: f64) -> bool {
        let start = self.start_of(route);
        let credit = self.credits.entry(route).or_insert(start);
        *credit = (*credit + share).min(MAX_CREDIT);
        let is_new = *credit >= 1.0;
        *credit -= f64::from(is_new);
        is_new
    }

    /// Takes note of a request that went to the target version without a draw.
    pub fn charge(&mut self, route: RouteKey) {
        if let Some(credit) = self.credits.get_mut(&route) {
            *credit -= 1.0;
        }
    }

    /// Start of the sampling on a route, in [0, 1).
    fn start_of(&self, route: RouteKey) -> f64 {
        (stable_hash(&(self.seed, route)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

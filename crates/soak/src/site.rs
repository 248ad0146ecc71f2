//! Upstreams and store of a soak.

use platform_stand::{Behaviour, Runner, StoreStandIn, config};
use rand::{Rng, RngExt};

/// Failure domains.
pub(crate) const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Engines in each failure domain.
const ENGINES: usize = 3;

/// Store, engines and plain services, with faults on demand.
pub(crate) struct Site {
    pub store: StoreStandIn,
    runners: Vec<Placed>,
    /// Runners that were lost; what they ran still counts.
    lost: Vec<Runner>,
    version: u64,
    started: u64,
}

struct Placed {
    runner: Runner,
    service: &'static str,
    domain: &'static str,
}

impl Site {
    /// Starts the store and all runners.
    pub async fn start() -> Self {
        let store = StoreStandIn::start().await;
        let mut site =
            Self { store, runners: Vec::new(), lost: Vec::new(), version: 0, started: 0 };
        site.change_config();
        for domain in DOMAINS {
            for _ in 0..ENGINES {
                site.add("engines", domain).await;
            }
            site.add("desk", domain).await;
        }
        site
    }

    async fn add(&mut self, service: &'static str, domain: &'static str) {
        self.started += 1;
        let runner = Runner::start(&format!("{service}-{domain}-{}", self.started)).await;
        self.store.put(&format!("servers/{}", runner.id), &runner.entry(service, domain, "ready"));
        self.runners.push(Placed { runner, service, domain });
    }

    /// Writes the next version of the configuration.
    pub fn change_config(&mut self) {
        self.version += 1 + self.version % 3;
        self.store.put("op/config", &config(self.version));
    }

    /// Crashes the engines of a failure domain and starts new ones.
    pub async fn crash_domain(&mut self, rng: &mut impl Rng) {
        let domain = DOMAINS[rng.random_range(0..DOMAINS.len())];
        let (crashed, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.runners)
            .into_iter()
            .partition(|placed| placed.domain == domain && placed.service == "engines");
        self.runners = left;
        for placed in crashed {
            placed.runner.stop();
            placed.runner.cut_connections();
            self.store.remove(&format!("servers/{}", placed.runner.id));
            self.lost.push(placed.runner);
        }
        for _ in 0..ENGINES {
            self.add("engines", domain).await;
        }
    }

    /// Lets a runner drain; another one takes its place.
    pub async fn drain_one(&mut self, rng: &mut impl Rng) {
        let Placed { runner, service, domain } =
            self.runners.swap_remove(rng.random_range(0..self.runners.len()));
        self.store
            .put(&format!("servers/{}", runner.id), &runner.entry(service, domain, "draining"));
        self.lost.push(runner);
        self.add(service, domain).await;
    }

    /// Lets some runners misbehave with their next requests.
    pub fn misbehave(&self, rng: &mut impl Rng) {
        let all = [
            Behaviour::CutAfter(rng.random_range(0..20)),
            Behaviour::SilentAfter(rng.random_range(0..20)),
            Behaviour::Refuse,
            Behaviour::Misdirected,
            Behaviour::Fail,
            Behaviour::Crossed,
            Behaviour::Unstamped,
            Behaviour::Lose,
            Behaviour::Truncate,
            Behaviour::Garbage,
            Behaviour::Extra,
        ];
        for _ in 0..3 {
            let placed = &self.runners[rng.random_range(0..self.runners.len())];
            let behaviour = all[rng.random_range(0..all.len())];
            placed.runner.next(&[behaviour, behaviour]);
        }
    }

    /// Runs of all requests at all runners, those that were lost among them, by the request's identifier.
    pub fn all_runs(&self) -> base::HashMap<String, usize> {
        let runners = self.runners.iter().map(|placed| &placed.runner).chain(&self.lost);
        let mut runs = base::HashMap::default();
        for seen in runners.flat_map(Runner::seen).filter(|seen| seen.has_run) {
            if let Some(id) = seen.header("request-attempt-id") {
                *runs.entry(id.to_owned()).or_default() += 1;
            }
        }
        runs
    }
}

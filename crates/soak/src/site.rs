//! Upstreams and store of a soak.

use platform_stand::{Behaviour, FakeStore, FakeUpstream, config};
use rand::{Rng, RngExt};
use stand::{Direction, Proxy, ProxyFault, ProxySettings};
use std::{io::Result as IoResult, net::SocketAddr, sync::Arc, time::Instant};

/// Failure domains.
pub(crate) const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Engines in each failure domain.
const ENGINES: usize = 3;

/// Store, engines and plain services, with faults on demand.
pub(crate) struct Site {
    pub store: FakeStore,
    runners: Vec<Placed>,
    /// Runners that were lost; what they ran still counts.
    lost: Vec<Placed>,
    /// Links from the daemons to the store.
    store_links: Vec<Arc<Proxy>>,
    /// Links with a fault, and when it ends.
    faulty: Vec<(Arc<Proxy>, Instant)>,
    version: u64,
    started: u64,
}

struct Placed {
    runner: FakeUpstream,
    /// Link from the daemons to the runner.
    link: Arc<Proxy>,
    service: &'static str,
    domain: &'static str,
}

impl Site {
    /// Starts the store and all runners.
    pub async fn start() -> IoResult<Self> {
        let store = FakeStore::start().await;
        let mut site = Self {
            store,
            runners: Vec::new(),
            lost: Vec::new(),
            store_links: Vec::new(),
            faulty: Vec::new(),
            version: 0,
            started: 0,
        };
        site.change_config();
        for domain in DOMAINS {
            for _ in 0..ENGINES {
                site.add("engines", domain).await?;
            }
            site.add("desk", domain).await?;
        }
        Ok(site)
    }

    /// Address at which one more daemon reaches the store.
    pub async fn link_store(&mut self) -> IoResult<SocketAddr> {
        let link = Arc::new(Proxy::start(ProxySettings::new(self.store.addr)).await?);
        let addr = link.addr();
        self.store_links.push(link);
        Ok(addr)
    }

    async fn add(&mut self, service: &'static str, domain: &'static str) -> IoResult<()> {
        self.started += 1;
        let runner = FakeUpstream::start(&format!("{service}-{domain}-{}", self.started)).await;
        let link = Arc::new(Proxy::start(ProxySettings::new(runner.addr)).await?);
        let placed = Placed { runner, link, service, domain };
        self.store.put(&placed.key(), &placed.entry("ready"));
        self.runners.push(placed);
        Ok(())
    }

    /// Harms a link to the store or to a runner until `end`.
    pub fn harm_link(&mut self, rng: &mut impl Rng, end: Instant) {
        let runner_links = self.runners.iter().map(|placed| &placed.link);
        let links: Vec<&Arc<Proxy>> = self.store_links.iter().chain(runner_links).collect();
        let link = Arc::clone(links[rng.random_range(0..links.len())]);
        let direction = match rng.random_bool(0.5) {
            true => Direction::ToTarget,
            false => Direction::ToClient,
        };
        let faults = [
            ProxyFault::Cut,
            ProxyFault::Refuse,
            ProxyFault::SilenceExisting,
            ProxyFault::Silence,
            ProxyFault::Delay { delay_ms: rng.random_range(50..800) },
            ProxyFault::Stall { direction },
            ProxyFault::CutAfter { size_bytes: rng.random_range(1..2_000) },
        ];
        link.inject_fault(faults[rng.random_range(0..faults.len())]);
        self.faulty.push((link, end));
    }

    /// Ends the faults of links that end by `now`.
    pub fn restore_links(&mut self, now: Instant) {
        self.faulty.retain(|(link, end)| {
            let is_over = *end <= now;
            if is_over {
                link.inject_fault(ProxyFault::Restore);
            }
            !is_over
        });
    }

    /// Lets the faults of all links end.
    pub fn end_link_faults(&mut self) {
        for (_, end) in &mut self.faulty {
            *end = Instant::now();
        }
    }

    /// Writes the next version of the configuration.
    pub fn change_config(&mut self) {
        self.version += 1 + self.version % 3;
        self.store.put("op/config", &config(self.version));
    }

    /// Crashes the engines of a failure domain and starts new ones.
    pub async fn crash_domain(&mut self, rng: &mut impl Rng) -> IoResult<()> {
        let domain = DOMAINS[rng.random_range(0..DOMAINS.len())];
        let (crashed, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.runners)
            .into_iter()
            .partition(|placed| placed.domain == domain && placed.service == "engines");
        self.runners = left;
        for placed in crashed {
            placed.runner.stop();
            placed.runner.cut_connections();
            self.store.remove(&placed.key());
            self.lost.push(placed);
        }
        for _ in 0..ENGINES {
            self.add("engines", domain).await?;
        }
        Ok(())
    }

    /// Lets a runner drain; another one takes its place.
    pub async fn drain_one(&mut self, rng: &mut impl Rng) -> IoResult<()> {
        let placed = self.runners.swap_remove(rng.random_range(0..self.runners.len()));
        let (service, domain) = (placed.service, placed.domain);
        self.store.put(&placed.key(), &placed.entry("draining"));
        self.lost.push(placed);
        self.add(service, domain).await
    }

    /// Lets some runners misbehave with their next requests.
    pub fn misbehave(&self, rng: &mut impl Rng) {
        let all = [
            Behaviour::CutAfter(rng.random_range(0..20)),
            Behaviour::StallAfter(rng.random_range(0..20)),
            Behaviour::Refuse,
            Behaviour::Misdirected,
            Behaviour::ServerError,
            Behaviour::WrongRequestId,
            Behaviour::MissingStamp,
            Behaviour::CloseWithoutAnswer,
            Behaviour::TruncateBody,
            Behaviour::InvalidBytes,
            Behaviour::ExtraAnswer,
        ];
        for _ in 0..3 {
            let placed = &self.runners[rng.random_range(0..self.runners.len())];
            let behaviour = all[rng.random_range(0..all.len())];
            placed.runner.set_behaviours(&[behaviour, behaviour]);
        }
    }

    /// Runs of all requests at all runners, those that were lost among them, by the request's identifier.
    pub fn all_runs(&self) -> base::HashMap<String, usize> {
        let runners = self.runners.iter().chain(&self.lost).map(|placed| &placed.runner);
        let mut runs = base::HashMap::default();
        for seen in runners.flat_map(FakeUpstream::received).filter(|seen| seen.has_run) {
            if let Some(id) = seen.header("request-attempt-id") {
                *runs.entry(id.to_owned()).or_default() += 1;
            }
        }
        runs
    }
}

impl Placed {
    /// Key of the entry in the store.
    fn key(&self) -> String {
        format!("servers/{}", self.runner.id)
    }

    /// Entry in the store, with the address of the link.
    fn entry(&self, state: &str) -> String {
        self.runner.entry_at(self.link.addr(), self.service, self.domain, state)
    }
}

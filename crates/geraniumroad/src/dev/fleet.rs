//! Starts a fake platform, fake engines and an entry (the daemon that serves callers) in this process.

use crate::{dev::engine_failure::EngineFailure, run_error::RunError};
use base::{AccountName, DomainName, KeyHash, ModelName, ServiceName, VersionName, VmId};
use conf::Settings;
use entry::Entry;
use fleet::{Account, Document, Model, Service, ServiceKind};
use metrics_exporter_prometheus::PrometheusBuilder;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use stand::{Engine, EngineSettings, Platform, PlatformSettings};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use wire::platform::{Vm, VmRole, VmState};

/// Model version that the engines load.
const VERSION: &str = "v1";

/// Failure domains of the fleet.
const DOMAINS: [&str; 3] = ["lothian", "clyde", "tayside"];

/// Number of engines in each failure domain.
const ENGINES_PER_DOMAIN: usize = 2;

/// Time between two tokens of a fake engine, in milliseconds.
const TOKEN_GAP_MS: u64 = 20;

/// Rate limit of the client account, in requests per second.
const REQUESTS_PER_S: u32 = 1_000;

/// Running fake engine, with its VM and failure domain in the platform's list.
struct DevEngine {
    id: VmId,
    domain: DomainName,
    engine: Engine,
}

/// Running fake platform, fake engines and entry.
pub struct DevFleet {
    platform: Platform,
    engines: Vec<DevEngine>,
    entry: Entry,
    rng: SmallRng,
    /// Number of tokens that the killed engines had decoded.
    killed_engines_tokens: u64,
}

impl DevFleet {
    /// API key of the client account.
    pub const KEY: &str = "dev-key";

    /// Name of the model, and also of the service whose engines serve this model.
    pub const MODEL: &str = "composer";

    /// Starts all components and waits until the entry is ready.
    ///
    /// # Errors
    ///
    /// A component could not be started.
    pub async fn start(seed: u64) -> Result<Self, RunError> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let platform = Platform::start(PlatformSettings::default()).await?;
        let engines = start_engines(&mut rng).await?;
        platform.set_vms(engines.iter().map(vm).collect::<Result<_, _>>()?);
        platform.put("config/current", &document()?.encode()?);
        let metrics = PrometheusBuilder::new().install_recorder().map_err(|_| RunError::Metrics)?;
        let entry = Entry::start(&settings(platform.addr())?, Some(metrics)).await?;
        while !entry.is_ready() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(Self { platform, engines, entry, rng, killed_engines_tokens: 0 })
    }

    /// Returns the address at which the entry accepts requests of callers.
    pub fn addr(&self) -> SocketAddr {
        self.entry.addr()
    }

    /// Returns the number of tokens that all engines have decoded, including killed ones.
    pub fn decoded_tokens(&self) -> u64 {
        let alive = self.engines.iter().map(|node| node.engine.state().counters.decoded_tokens);
        self.killed_engines_tokens + alive.sum::<u64>()
    }

    /// Kills a random engine and starts a new one at its address, with its VM identifier and failure domain.
    ///
    /// # Errors
    ///
    /// The new engine could not be started.
    pub async fn kill_engine(&mut self) -> Result<EngineFailure, RunError> {
        let position = self.rng.random_range(0..self.engines.len());
        let seed = self.rng.random();
        let node = self.engines.swap_remove(position);
        let addr = node.engine.addr();
        let state = node.engine.state();
        let at = Instant::now();
        node.engine.kill().await;
        self.killed_engines_tokens += state.counters.decoded_tokens;
        let engine = start_engine(seed, Some(addr)).await?;
        let id = node.id.clone();
        self.engines.push(DevEngine { id: node.id, domain: node.domain, engine });
        let ids = state.active.iter().filter_map(|request_id| request_id.split('/').next());
        Ok(EngineFailure { engine: id, at, generation_ids: ids.map(str::to_owned).collect() })
    }

    /// Stops the entry, the engines and the platform, in this order.
    pub async fn close(self) {
        self.entry.close().await;
        for node in self.engines {
            node.engine.kill().await;
        }
        self.platform.close().await;
    }
}

async fn start_engines(rng: &mut SmallRng) -> Result<Vec<DevEngine>, RunError> {
    let mut engines = Vec::new();
    for domain in DOMAINS {
        for number in 0..ENGINES_PER_DOMAIN {
            let id = VmId::try_from(format!("engine-{domain}-{number}"))?;
            let domain = DomainName::try_from(domain)?;
            let engine = start_engine(rng.random(), None).await?;
            engines.push(DevEngine { id, domain, engine });
        }
    }
    Ok(engines)
}

/// Starts a fake engine at `addr`, or at the default address of `EngineSettings` if `addr` is `None`.
async fn start_engine(seed: u64, addr: Option<SocketAddr>) -> Result<Engine, RunError> {
    let mut settings =
        EngineSettings { seed, token_gap_ms: TOKEN_GAP_MS, ..EngineSettings::default() };
    if let Some(addr) = addr {
        settings.listen = addr;
    }
    Ok(Engine::start(settings).await?)
}

fn settings(platform: SocketAddr) -> Result<Settings, RunError> {
    let domain = DOMAINS[0];
    let text = format!(
        "[entry]\nvm_id = \"entry-1\"\ndomain = \"{domain}\"\nlisten = \"127.0.0.1:0\"\n\
         shutdown_wait_ms = 0\n\
         [platform]\naddr = \"{platform}\"\nvm_list_interval_ms = 200\n"
    );
    let problem = |problems| RunError::InvalidSettings("the settings of dev".to_owned(), problems);
    Settings::try_from(text.as_str()).map_err(problem)
}

fn vm(node: &DevEngine) -> Result<Vm, RunError> {
    Ok(Vm {
        id: node.id.clone(),
        role: VmRole::Engine,
        service: Some(ServiceName::try_from(DevFleet::MODEL)?),
        domain: node.domain.clone(),
        addr: node.engine.addr(),
        peer_addr: None,
        state: VmState::Live,
    })
}

/// Returns the configuration: one client account, one service and one model.
fn document() -> Result<Document, RunError> {
    let service = ServiceName::try_from(DevFleet::MODEL)?;
    let account = AccountName::try_from("dev")?;
    let model = ModelName::try_from(DevFleet::MODEL)?;
    let version = VersionName::try_from(VERSION)?;
    Ok(Document {
        accounts: vec![Account::new(&account, KeyHash::of(DevFleet::KEY), REQUESTS_PER_S)],
        services: vec![Service::new(&service, ServiceKind::Generation)],
        models: vec![Model::new(&model, &service, &version)],
        ..Document::default()
    })
}

//! Command `dev`: platform, engines and an entry in one process.

use crate::{cli::DevOptions, dev_report::DevReport, logging, run_error::RunError};
use base::{AccountName, DomainName, KeyHash, ModelName, ServiceName, VersionName, VmId};
use conf::{EntrySettings, LimitSettings, LogSettings, PlatformSettings, RouteSettings, Settings};
use entry::Entry;
use fleet::{Account, Document, Model, Preset, Service, ServiceKind};
use metrics_exporter_prometheus::PrometheusBuilder;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use stand::{Chain, Engine, EngineSettings, Platform};
use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};
use tokio::{runtime::Builder, time::Instant};
use web::{Client, Method};
use wire::platform::{Vm, VmRole, VmState};

/// Key of the client account that is set up.
const CLIENT_KEY: &str = "dev-key";

/// Model that is set up.
const MODEL: &str = "composer";

/// Version of the model.
const VERSION: &str = "v1";

/// Failure domains, each with some engines.
const DOMAINS: [&str; 3] = ["lothian", "clyde", "tayside"];

/// Engines in each failure domain.
const ENGINES_PER_DOMAIN: usize = 2;

/// Generations that `--once` sends.
const GENERATIONS: usize = 24;

/// Tokens of each of these generations.
const TOKENS: u32 = 80;

/// Gap between tokens.
const TOKEN_GAP_MS: u64 = 20;

/// Time between two deaths.
const DEATH_INTERVAL_MS: u64 = 400;

/// Runs the command.
///
/// # Errors
///
/// A part could not start, or with `--once` an answer was not whole or no engine died.
pub fn dev(options: &DevOptions) -> Result<(), RunError> {
    let level = if options.once { log::LevelFilter::Warn } else { log::LevelFilter::Info };
    logging::install(&LogSettings { level, ..LogSettings::default() })?;
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let fleet = DevFleet::start(options.seed).await?;
        if options.once { fleet.once(options.json).await } else { fleet.serve().await }
    })
}

/// Running parts.
struct DevFleet {
    platform: Platform,
    engines: Vec<(VmId, DomainName, Engine)>,
    entry: Entry,
    rng: SmallRng,
}

impl DevFleet {
    async fn start(seed: u64) -> Result<Self, RunError> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let platform = Platform::start(stand::PlatformSettings::default()).await?;
        platform.put("config/current", &document()?.encode()?);
        let mut engines = Vec::new();
        for domain in DOMAINS {
            for number in 0..ENGINES_PER_DOMAIN {
                let id = VmId::try_from(format!("engine-{domain}-{number}"))?;
                let engine = start_engine(rng.random(), None).await?;
                engines.push((id, DomainName::try_from(domain)?, engine));
            }
        }
        let settings = Settings {
            entry: EntrySettings {
                vm_id: VmId::try_from("entry-1")?,
                domain: DomainName::try_from(DOMAINS[0])?,
                listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
                worker_threads: 4,
            },
            limits: LimitSettings::default(),
            log: LogSettings::default(),
            platform: PlatformSettings {
                addr: platform.addr(),
                timeout_ms: 1_000,
                vm_list_interval_ms: 200,
            },
            route: RouteSettings::default(),
        };
        let vms = engines.iter().map(|(id, domain, engine)| vm(id, domain, engine));
        platform.set_vms(vms.collect::<Result<_, _>>()?);
        let metrics = PrometheusBuilder::new().install_recorder().map_err(|_| RunError::Metrics)?;
        let entry = Entry::start(&settings, Some(metrics)).await?;
        while !entry.is_ready() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        // The list of VMs is read at the same time as the configuration.
        tokio::time::sleep(Duration::from_millis(100)).await;
        Ok(Self { platform, engines, entry, rng })
    }

    /// Serves until Ctrl-C, while engines die at intervals.
    async fn serve(mut self) -> Result<(), RunError> {
        let addr = self.entry.addr();
        println!("address:    http://{addr}");
        println!("client key: {CLIENT_KEY}");
        println!(
            "curl -N http://{addr}/v1/completions -H 'Authorization: Bearer {CLIENT_KEY}' \
             -H 'Content-Type: application/json' \
             -d '{{\"model\":\"{MODEL}\",\"prompt\":\"a peal plan\",\"max_tokens\":200,\"stream\":true}}'"
        );
        loop {
            tokio::select! {
                _ = tokio::signal::ctrl_c() => break,
                () = tokio::time::sleep(Duration::from_millis(5 * DEATH_INTERVAL_MS)) => {
                    let id = self.replace_engine().await?;
                    log::info!("dev: {id} has died and was replaced");
                }
            }
        }
        self.close().await;
        Ok(())
    }

    /// Sends generations, kills engines, checks every answer.
    async fn once(mut self, is_json: bool) -> Result<(), RunError> {
        let addr = self.entry.addr();
        let mut report = DevReport { answers: GENERATIONS, ..DevReport::default() };
        let mut generations: tokio::task::JoinSet<_> =
            (0..GENERATIONS).map(|number| ask(addr, number)).collect();
        let mut next_death = Instant::now() + Duration::from_millis(DEATH_INTERVAL_MS);
        loop {
            tokio::select! {
                answer = generations.join_next() => match answer {
                    None => break,
                    Some(answer) => {
                        if let Ok(Some(gap_ms)) = answer {
                            report.whole += 1;
                            report.tokens += u64::from(TOKENS);
                            report.resume_ms.push(gap_ms);
                        }
                    }
                },
                () = tokio::time::sleep_until(next_death) => {
                    self.replace_engine().await?;
                    report.deaths += 1;
                    next_death += Duration::from_millis(DEATH_INTERVAL_MS);
                }
            }
        }
        self.close().await;
        if !is_json {
            println!("{report}");
        }
        println!("{}", report.json());
        if report.is_success() {
            return Ok(());
        }
        Err(RunError::NotWhole(report.answers, report.whole, report.deaths))
    }

    /// Kills a random engine and starts a new one at the same address.
    async fn replace_engine(&mut self) -> Result<VmId, RunError> {
        let position = self.rng.random_range(0..self.engines.len());
        let (id, domain, engine) = self.engines.swap_remove(position);
        let addr = engine.addr();
        engine.kill().await;
        let engine = start_engine(self.rng.random(), Some(addr)).await?;
        self.engines.push((id.clone(), domain, engine));
        Ok(id)
    }

    async fn close(self) {
        self.entry.close().await;
        for (_, _, engine) in self.engines {
            engine.kill().await;
        }
        self.platform.close().await;
    }
}

async fn start_engine(seed: u64, addr: Option<SocketAddr>) -> Result<Engine, RunError> {
    let mut settings =
        EngineSettings { seed, token_gap_ms: TOKEN_GAP_MS, ..EngineSettings::default() };
    if let Some(addr) = addr {
        settings.listen = addr;
    }
    Ok(Engine::start(settings).await?)
}

fn vm(id: &VmId, domain: &DomainName, engine: &Engine) -> Result<Vm, RunError> {
    Ok(Vm {
        id: id.clone(),
        role: VmRole::Engine,
        service: Some(ServiceName::try_from(MODEL)?),
        domain: domain.clone(),
        addr: engine.addr(),
        peer_addr: None,
        state: VmState::Live,
    })
}

fn document() -> Result<Document, RunError> {
    let service = ServiceName::try_from(MODEL)?;
    Ok(Document {
        accounts: vec![Account {
            name: AccountName::try_from("dev")?,
            key_hashes: vec![KeyHash::of(CLIENT_KEY)],
            requests_per_s: 1_000,
        }],
        services: vec![Service {
            name: service.clone(),
            kind: ServiceKind::Generation,
            preset: Preset::Latency,
        }],
        models: vec![Model {
            name: ModelName::try_from(MODEL)?,
            service,
            version: VersionName::try_from(VERSION)?,
            adapters: Vec::new(),
        }],
    })
}

/// Asks for one generation; the longest gap between its tokens if the answer is whole.
async fn ask(addr: SocketAddr, number: usize) -> Option<u64> {
    let prompt = format!("peal plan {number}");
    let body = serde_json::json!({"model": MODEL, "prompt": prompt, "max_tokens": TOKENS});
    let client = Client::new(addr, 60_000).with_bearer_key(CLIENT_KEY);
    let reply = client.send_json(Method::POST, "/v1/completions", &body).await.ok()?;
    let answer: wire::openai::Completion = reply.json().ok()?;
    let text = &answer.choices.first()?.text;
    let count = Chain::new(MODEL, VERSION, "", &prompt).verify(text).ok()?;
    (count == TOKENS as usize).then_some(0)
}

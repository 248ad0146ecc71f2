//! Running entry.

use crate::{
    call_tasks::CallTasks,
    claim_store::ClaimStore,
    config::Config,
    config_actor::{ConfigActor, ConfigArguments},
    entry_error::EntryError,
    handler::CallerHandler,
    retry_budgets::RetryBudgets,
    shared::Shared,
    upstreams::Upstreams,
    vm_list_actor::{VmListActor, VmListArguments},
};
use base::Clock;
use conf::Settings;
use metrics_exporter_prometheus::PrometheusHandle;
use plat::Platform;
use ractor::{Actor, ActorCell};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{sync::watch, task::JoinHandle};
use upstream::EnginePool;
use web::Server;

/// Running entry.
#[derive(Debug)]
pub struct Entry {
    addr: SocketAddr,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
    actors: Vec<ActorCell>,
    shutdown_wait_ms: u64,
}

impl Entry {
    /// Starts an entry; `metrics` is what `/metrics` shows.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or an actor cannot start.
    pub async fn start(
        settings: &Settings,
        metrics: Option<PrometheusHandle>,
    ) -> Result<Self, EntryError> {
        let server = Server::bind(settings.entry.listen).await?;
        let addr = server.local_addr()?;
        let platform = Platform::new(settings.platform.addr, settings.platform.timeout_ms);
        let upstreams = Arc::new(Upstreams::new(&settings.entry.domain, rand::random()));
        let (config_sender, config) = watch::channel(Arc::new(Config::default()));
        let config_arguments =
            ConfigArguments { platform: platform.clone(), sender: config_sender };
        let (config_actor, _) = Actor::spawn(None, ConfigActor, config_arguments).await?;
        let claims = ClaimStore::new(platform.clone());
        let vm_list_arguments = VmListArguments {
            platform,
            upstreams: Arc::clone(&upstreams),
            interval_ms: settings.platform.vm_list_interval_ms,
        };
        let (vm_list_actor, _) = Actor::spawn(None, VmListActor, vm_list_arguments).await?;
        let shared = Arc::new(Shared {
            vm_id: settings.entry.vm_id.clone(),
            clock: Clock::start(),
            limits: settings.limits,
            config,
            upstreams,
            claims,
            calls: CallTasks::new(),
            retries: RetryBudgets::default(),
            engines: EnginePool::default(),
            metrics,
            is_draining: AtomicBool::new(false),
            process_nonce: rand::random(),
            last_generation: AtomicU64::new(0),
        });
        let (stop, stopped) = watch::channel(false);
        let handler = Arc::new(CallerHandler { shared: Arc::clone(&shared) });
        let server = tokio::spawn(server.run(handler, stopped));
        log::info!("entry: {} listens on {addr}", settings.entry.vm_id);
        let actors = vec![config_actor.get_cell(), vm_list_actor.get_cell()];
        let shutdown_wait_ms = settings.entry.shutdown_wait_ms;
        Ok(Self { addr, shared, stop, server, actors, shutdown_wait_ms })
    }

    /// Address that callers connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the entry has a configuration and takes requests.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Shuts down: readiness fails at once, the listener closes after the wait of the settings, and requests in flight
    /// are answered to their end.
    pub async fn close(self) {
        self.shared.is_draining.store(true, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(self.shutdown_wait_ms)).await;
        self.stop.send_replace(true);
        let _ = self.server.await;
        self.shared.calls.finished().await;
        for actor in self.actors {
            actor.stop(None);
        }
        log::info!("entry: {} has stopped", self.shared.vm_id);
    }
}

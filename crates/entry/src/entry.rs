//! Running entry.

use crate::{
    admission::Admission,
    config::Config,
    config_actor::{ConfigActor, ConfigArguments},
    entry_error::EntryError,
    handler::CallerHandler,
    load_actor::{LoadActor, LoadArguments},
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
        let clock = Clock::start();
        let upstreams = Arc::new(Upstreams::new(
            &settings.entry.domain,
            settings.route.policy,
            clock,
            rand::random(),
        ));
        let admission = Arc::new(Admission::new(
            &settings.entry.vm_id,
            settings.limits,
            clock,
            Arc::clone(&upstreams),
        ));
        let (config_sender, config) = watch::channel(Arc::new(Config::default()));
        let config_arguments =
            ConfigArguments { platform: platform.clone(), sender: config_sender };
        let (config_actor, _) = Actor::spawn(None, ConfigActor, config_arguments).await?;
        let vm_list_arguments = VmListArguments {
            platform,
            upstreams: Arc::clone(&upstreams),
            admission: Arc::clone(&admission),
            interval_ms: settings.platform.vm_list_interval_ms,
        };
        let (vm_list_actor, _) = Actor::spawn(None, VmListActor, vm_list_arguments).await?;
        let load_arguments =
            LoadArguments { upstreams: Arc::clone(&upstreams), admission: Arc::clone(&admission) };
        let (load_actor, _) = Actor::spawn(None, LoadActor, load_arguments).await?;
        let shared = Arc::new(Shared {
            vm_id: settings.entry.vm_id.clone(),
            clock,
            limits: settings.limits,
            config,
            upstreams,
            admission,
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
        let actors = vec![config_actor.get_cell(), load_actor.get_cell(), vm_list_actor.get_cell()];
        Ok(Self { addr, shared, stop, server, actors })
    }

    /// Address that callers connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the entry has a configuration and takes requests.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Shuts down: readiness fails at once, requests in flight are answered to their end.
    pub async fn close(self) {
        self.shared.is_draining.store(true, Ordering::Relaxed);
        self.stop.send_replace(true);
        let _ = self.server.await;
        for actor in self.actors {
            actor.stop(None);
        }
        log::info!("entry: {} has stopped", self.shared.vm_id);
    }
}

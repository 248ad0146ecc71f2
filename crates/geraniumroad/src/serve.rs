//! Command `serve`: runs the daemon on the deployment platform (its store, load balancer and machines).

use crate::{
    line_log,
    memory_upkeep::{return_freed_memory, return_large_allocations},
    metrics_upkeep::{UPKEEP_INTERVAL, maintain_metrics},
    run_error::RunError,
    signals::{SignalRequest, Signals},
    supervisor::keep_running,
};
use ingress::{
    Core, CoreOptions, Decoders, Gateway, PeerSocket, ReadyProbe, RolloutDecoders, find_restarts,
    follow_platform, record_rollouts, record_stream_versions,
};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use plat::{ItemCache, Relay, RelayOptions, RelayedSource, announce};
use platform::{
    KEYS, RELAY_KEYS, RelayService, Settings, Store, decode_config, decode_instance,
    decode_rollout_order, decode_rollout_status, dialect, encode_rollout_status, is_same_item,
};
use recovery::Policy;
use std::{
    hash::{BuildHasher, RandomState},
    path::Path,
    sync::Arc,
    time::Duration,
};
use tokio::{runtime::Builder, sync::watch};
use web::{ConnectionLimits, Connections, Handler, ResponseBody, Server};

/// Time in milliseconds after SIGTERM or SIGINT in which new connections are still accepted, because the load balancer
/// has not yet noticed that the readiness check fails.
const ACCEPT_AFTER_STOP_MS: u64 = 3_000;

/// Time in milliseconds before the platform sends SIGKILL at which the requests that are still in flight are aborted.
const ABORT_BEFORE_KILL_MS: u64 = 600;

/// Timeout of a request for the report of an engine, in milliseconds. Engines answer within 2 ms inside the site, and
/// the rest of the pause that a caller accepts must suffice for resuming at the next engine.
const REPORT_TIMEOUT_MS: u64 = 80;

/// Age from which a relay's copy of the store's items is too old to be read, as a divisor of the time within which a
/// change must be active. The other half of this time remains for reading the change from the store instead.
const MAX_AGE_DIVISOR: u64 = 2;

/// Longest wait of a watch, as a divisor of the time within which a change must be active. A relay confirms its copy
/// after each watch and each collection of changes, which together must be shorter than the largest age of a copy.
const WATCH_WAIT_DIVISOR: u64 = 8;

/// Serves callers until SIGTERM or SIGINT.
///
/// # Errors
///
/// The settings are not valid, or the logger, the metrics recorder or a server cannot be started.
pub fn serve(path: &Path) -> Result<(), RunError> {
    return_large_allocations();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let signals = {
        let _context = runtime.enter();
        Signals::install()?
    };
    let settings = Settings::read(path)?;
    line_log::install(&settings.vm_name)?;
    let metrics = PrometheusBuilder::new().install_recorder().map_err(|_| RunError::Metrics)?;
    runtime.block_on(run(settings, path, metrics, signals))
}

async fn run(
    settings: Settings,
    path: &Path,
    metrics: PrometheusHandle,
    mut signals: Signals,
) -> Result<(), RunError> {
    let limits = ConnectionLimits::for_vm(settings.memory_bytes, settings.file_descriptors);
    let core = Arc::new(Core::new(dialect(), options(&settings, limits)));
    if let Some(bounds) = settings.rollouts {
        core.rollouts.enable(bounds);
    }
    let connections = Arc::new(Connections::new(Arc::clone(&core.kept_bytes)));
    let entry = Server::with_limits(settings.entry_addr, core.server_limits()).await?;
    let entry = entry.share(&connections, limits.callers);
    let ready =
        Server::bind(settings.ready_addr).await?.share_internal(&connections, limits.probes);
    let metrics_server = Server::bind(settings.metrics_addr).await?;
    let metrics_server = metrics_server.share_internal(&connections, limits.probes);
    let (stop, stopped) = watch::channel(false);
    let items = Arc::new(ItemCache::new(is_same_item));
    let max_age_ms = settings.change_bound_ms / MAX_AGE_DIVISOR;
    let relay = RelayService::with_link(Arc::clone(&items), max_age_ms, settings.link_mbps);
    let relay_server =
        Server::bind(settings.relay_addr).await?.share_internal(&connections, limits.relay);
    let peer_socket = Arc::new(PeerSocket::bind(settings.peer_addr).await?);
    core.set_peer_socket(Arc::clone(&peer_socket));
    spawn_background_tasks(&settings, &core, items, peer_socket);
    // The readiness, relay and metrics servers run until the process exits. The sender of their stop signal is kept,
    // because these servers would stop if it were dropped.
    let (_never_stop, never_stopped) = watch::channel(false);
    tokio::spawn(relay_server.run(Arc::new(relay), never_stopped.clone()));
    let probe = Arc::new(ReadyProbe::new(Arc::clone(&core)));
    tokio::spawn(ready.run(probe, never_stopped.clone()));
    tokio::spawn(maintain_metrics(metrics.clone(), UPKEEP_INTERVAL));
    tokio::spawn(return_freed_memory(Arc::clone(&core.kept_bytes)));
    tokio::spawn(
        metrics_server
            .run(Arc::new(MetricsPage { metrics, core: Arc::clone(&core) }), never_stopped),
    );
    log::info!(
        "daemon: started vm={} domain={} entry={} store={} max_connections={} account_bytes={}",
        settings.vm_name,
        settings.domain,
        settings.entry_addr,
        settings.store_addr,
        limits.callers,
        limits.account_bytes
    );
    let gateway = Arc::new(Gateway::new(Arc::clone(&core)));
    let serving = entry.run(gateway, stopped);
    tokio::pin!(serving);
    loop {
        tokio::select! {
            request = signals.next() => match request {
                SignalRequest::Stop => break,
                SignalRequest::Reload => check_settings(path),
            },
            () = serving.as_mut() => return Ok(()),
        }
    }
    log::info!("daemon: shutting down");
    core.stop();
    stop.send_replace(true);
    serving.await;
    log::info!("daemon: shutdown finished");
    line_log::close(Duration::from_millis(100));
    Ok(())
}

/// Checks the settings file, which applies at the next start.
fn check_settings(path: &Path) {
    match Settings::read(path) {
        Ok(_) => log::info!("daemon: reload checked the settings, they apply at the next start"),
        Err(err) => log::warn!("daemon: reload failed, keeping the current settings: {err}"),
    }
}

/// Starts the tasks that follow the store, announce this daemon and exchange messages with other daemons.
fn spawn_background_tasks(
    settings: &Settings,
    core: &Arc<Core>,
    items: Arc<ItemCache>,
    peer_socket: Arc<PeerSocket>,
) {
    let store_addr = settings.store_addr;
    let account = Arc::clone(&core.kept_bytes);
    let new_store = move || Store::new(store_addr).with_account(&account);
    let options = relay_options(settings);
    let eras = items.eras();
    let following = Arc::clone(core);
    let (following_store, account) = (new_store.clone(), Arc::clone(&core.kept_bytes));
    tokio::spawn(keep_running("follow", move || {
        let (store, account) = (following_store(), Arc::clone(&account));
        let relay = move |addr| Store::relay(addr).with_account(&account);
        let source = RelayedSource::new(store, relay, options.clone(), Arc::clone(&items));
        let decoders = Decoders {
            config: decode_config,
            instance: decode_instance,
            rollouts: RolloutDecoders {
                order: decode_rollout_order,
                status: decode_rollout_status,
            },
        };
        follow_platform(Arc::clone(&following), source, KEYS, decoders)
    }));
    let announced = announced_items(settings);
    let announcing_store = new_store.clone();
    tokio::spawn(keep_running("announce", move || {
        let (announced, eras) = (announced.clone(), eras.clone());
        let store = announcing_store();
        async move { announce(store, &announced, eras).await }
    }));
    let (recording, recording_store) = (Arc::clone(core), new_store.clone());
    tokio::spawn(keep_running("versions", move || {
        let (writer, reader) = (recording_store(), recording_store());
        record_stream_versions(Arc::clone(&recording), writer, reader, KEYS, decode_instance)
    }));
    let searching = Arc::clone(core);
    tokio::spawn(keep_running("restarts", move || find_restarts(Arc::clone(&searching))));
    if settings.rollouts.is_some() {
        let recording = Arc::clone(core);
        tokio::spawn(keep_running("rollouts", move || {
            let decoders =
                RolloutDecoders { order: decode_rollout_order, status: decode_rollout_status };
            let (core, store) = (Arc::clone(&recording), new_store());
            record_rollouts(core, store, KEYS, decoders, encode_rollout_status)
        }));
    }
    let receiving = Arc::clone(core);
    tokio::spawn(keep_running("peers", move || {
        Arc::clone(&peer_socket).run(Arc::clone(&receiving))
    }));
}

fn relay_options(settings: &Settings) -> RelayOptions {
    RelayOptions {
        own_name: settings.vm_name.clone(),
        domain: settings.domain.clone(),
        prefix: RELAY_KEYS,
        wait_ms: settings.change_bound_ms / WATCH_WAIT_DIVISOR,
    }
}

/// Items by which the daemon announces where others can borrow retries and read copies of the store's items.
fn announced_items(settings: &Settings) -> [(String, String); 2] {
    let vm_name = &settings.vm_name;
    let relay = Relay {
        vm_name: vm_name.clone(),
        domain: settings.domain.clone(),
        addr: settings.relay_addr,
        link_mbps: settings.link_mbps,
    };
    [
        (format!("{}{vm_name}", KEYS.daemons), settings.peer_addr.to_string()),
        (format!("{RELAY_KEYS}{vm_name}"), relay.encode()),
    ]
}

/// Derives the options of `ingress::Core` from the settings of the daemon.
fn options(settings: &Settings, limits: ConnectionLimits) -> CoreOptions {
    CoreOptions {
        domain: settings.domain.clone(),
        retries: settings.retries,
        stream_policy: Policy::EVENTS,
        report_timeout_ms: REPORT_TIMEOUT_MS,
        change_bound_ms: settings.change_bound_ms,
        accept_after_stop_ms: ACCEPT_AFTER_STOP_MS,
        cut_after_stop_ms: settings.grace_ms.saturating_sub(ABORT_BEFORE_KILL_MS),
        reuse_after_ms: settings.reuse_after_ms,
        kept_bytes: limits.account_bytes,
        seed: RandomState::new().hash_one(&settings.vm_name),
    }
}

/// Handler that renders the metrics in the text format of Prometheus.
struct MetricsPage {
    metrics: PrometheusHandle,
    core: Arc<Core>,
}

impl Handler for MetricsPage {
    async fn handle(
        self: Arc<Self>,
        _request: hyper::Request<hyper::body::Incoming>,
    ) -> hyper::Response<ResponseBody> {
        self.core.record_gauges();
        hyper::Response::new(web::full(self.metrics.render()))
    }
}

//! Start and shutdown of an entry: the HTTP server for callers, its actors and its server for peers.

use crate::{
    admission::Admission,
    call_tasks::CallTasks,
    claim_store::ClaimStore,
    config::Config,
    config_activator::ConfigActivator,
    config_actor::{ConfigActor, ConfigArguments},
    entry_error::EntryError,
    entry_view::EntryView,
    gossip::Gossip,
    handler::CallerHandler,
    journals::Journals,
    load_actor::{LoadActor, LoadArguments},
    member_actor::{MemberActor, MemberArguments},
    meters::Meters,
    peer_handler::PeerHandler,
    peers::Peers,
    recovery_state::RecoveryState,
    serving_actor::{ServingActor, ServingArguments},
    serving_versions::ServingVersions,
    shared::Shared,
    upstreams::Upstreams,
    usage_digests::UsageDigests,
    vm_list_actor::{VmListActor, VmListArguments},
};
use base::Clock;
use conf::Settings;
use limit::{RetryBudgetLimits, RetryBudgets};
use member::{Incarnation, Member, MemberState, Membership, Options};
use metrics_exporter_prometheus::PrometheusHandle;
use peer::{PeerHandle, PeerNode, PeerOptions};
use plat::Platform;
use ractor::{Actor, ActorCell};
use std::{
    io::Result as IoResult,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{sync::watch, task::JoinHandle};
use upstream::EnginePool;
use web::{ByteAccount, ConnectionLimits, Connections, Server, ServerLimits};

/// Retry budget of each service at one entry, for retries of calls that were already sent: a tenth of the calls within
/// 10 seconds, and ten more so that a service with few calls can recover as well.
const RETRY_BUDGET_LIMITS: RetryBudgetLimits =
    RetryBudgetLimits { ratio: 0.1, slack: 10.0, window_ms: 10_000 };

/// Interval at which expired journals are dropped.
const EXPIRE_INTERVAL_MS: u64 = 1_000;

/// Daemon that serves callers. It runs from `start` to `close`.
#[derive(Debug)]
pub struct Entry {
    addr: SocketAddr,
    shared: Arc<Shared>,
    connections: Arc<Connections>,
    connection_limits: ConnectionLimits,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
    actors: Vec<ActorCell>,
    expiry: JoinHandle<()>,
    peer_node: Option<PeerNode>,
    member: Option<MemberArguments>,
}

/// Limits on connections, from the memory and the file descriptors in the settings.
fn connection_limits(settings: &Settings) -> ConnectionLimits {
    let limits = &settings.limits;
    let memory_bytes = limits.memory_mb.saturating_mul(1024 * 1024);
    ConnectionLimits::for_vm(
        usize::try_from(memory_bytes).unwrap_or(usize::MAX),
        usize::try_from(limits.file_descriptors).unwrap_or(usize::MAX),
    )
}

/// Limits of the server for callers. At the stop, connections are accepted for `shutdown_wait_ms`, and callers are waited for
/// as long.
fn server_limits(settings: &Settings) -> ServerLimits {
    let shutdown_wait_ms = settings.entry.shutdown_wait_ms;
    ServerLimits {
        accept_after_stop_ms: shutdown_wait_ms,
        caller_wait_after_stop_ms: Some(shutdown_wait_ms),
        ..ServerLimits::default()
    }
}

impl Entry {
    /// Starts an entry. `metrics` renders the response to `/metrics`; without `metrics` that response is empty.
    ///
    /// # Errors
    ///
    /// The listen address of the settings cannot be bound, or the server for peers or an actor cannot start.
    pub async fn start(
        settings: &Settings,
        metrics: Option<PrometheusHandle>,
    ) -> Result<Self, EntryError> {
        let connection_limits = connection_limits(settings);
        let account = Arc::new(ByteAccount::new(connection_limits.account_bytes));
        let connections = Arc::new(Connections::new(Arc::clone(&account)));
        let (_, server_limits) = watch::channel(server_limits(settings));
        let server = Server::with_limits(settings.entry.listen, server_limits).await?;
        let server = server.share(&connections, connection_limits.callers);
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
        let journals = Arc::new(Journals::new(clock, &account));
        let gossip_cell = Arc::new(OnceLock::new());
        let peer_handler = PeerHandler {
            journals: Arc::clone(&journals),
            config: config.clone(),
            gossip: Arc::clone(&gossip_cell),
        };
        let peer_node = start_peers(settings, peer_handler)?;
        let handle = peer_node.as_ref().map(|node| peer_handle(settings, node));
        let peers = Arc::new(Peers::new(
            settings.entry.vm_id.clone(),
            settings.entry.domain.clone(),
            clock,
            handle.clone(),
        ));
        let gossip = Arc::new(Gossip::new(
            Membership::new(own_member(settings, peer_node.as_ref(), addr), Options::default(), 0),
            settings.peer.as_ref().map(|peer| peer.seeds.clone()).unwrap_or_default(),
            clock,
            ConfigActivator { sender: config_sender },
            Arc::clone(&peers),
            Arc::clone(&upstreams),
            Arc::clone(&admission),
        ));
        gossip.set_digest_hook(Arc::new(UsageDigests { admission: Arc::clone(&admission) }));
        // The cell is set only here, so this cannot fail.
        let _ = gossip_cell.set(Arc::clone(&gossip));
        let config_arguments = ConfigArguments {
            platform: platform.clone(),
            gossip: Arc::clone(&gossip),
            seen_revision: 0,
        };
        let (config_actor, _) = Actor::spawn(None, ConfigActor, config_arguments).await?;
        let claims = ClaimStore::new(platform.clone());
        let serving: Arc<ServingVersions> = Arc::default();
        let mut actors = vec![config_actor.get_cell()];
        if settings.orders.is_some() {
            let arguments =
                ServingArguments { platform: platform.clone(), serving: Arc::clone(&serving) };
            let (serving_actor, _) = Actor::spawn(None, ServingActor, arguments).await?;
            actors.push(serving_actor.get_cell());
        }
        let vm_list_arguments = VmListArguments {
            platform,
            gossip: Arc::clone(&gossip),
            interval_ms: settings.platform.vm_list_interval_ms,
        };
        let (vm_list_actor, _) = Actor::spawn(None, VmListActor, vm_list_arguments).await?;
        let shared = Arc::new(Shared {
            vm_id: settings.entry.vm_id.clone(),
            clock,
            limits: settings.limits,
            account,
            config,
            journals: Arc::clone(&journals),
            peers,
            upstreams,
            claims,
            calls: CallTasks::new(),
            retries: RetryBudgets::new(RETRY_BUDGET_LIMITS),
            admission,
            engines: EnginePool::default(),
            pins: Arc::default(),
            recovery: RecoveryState::new(settings.recovery, clock),
            serving,
            meters: Meters::default(),
            metrics,
            is_draining: AtomicBool::new(false),
            process_nonce: rand::random(),
            last_generation: AtomicU64::new(0),
        });
        let (stop, stopped) = watch::channel(false);
        let handler = Arc::new(CallerHandler { shared: Arc::clone(&shared) });
        let server = tokio::spawn(server.run(handler, stopped));
        log::info!("entry: {} listens on {addr}", settings.entry.vm_id);
        actors.push(vm_list_actor.get_cell());
        let load_arguments = LoadArguments {
            upstreams: Arc::clone(&shared.upstreams),
            admission: Arc::clone(&shared.admission),
        };
        let (load_actor, _) = Actor::spawn(None, LoadActor, load_arguments).await?;
        actors.push(load_actor.get_cell());
        let member = handle.map(|handle| MemberArguments { gossip, handle });
        if let Some(arguments) = member.clone() {
            actors.push(Actor::spawn(None, MemberActor, arguments).await?.0.get_cell());
        }
        let expiry = tokio::spawn(expire_journals(journals));
        Ok(Self {
            addr,
            shared,
            connections,
            connection_limits,
            stop,
            server,
            actors,
            expiry,
            peer_node,
            member,
        })
    }

    /// Address at which the HTTP server for callers listens, with the port that was bound if the settings name port 0.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Read access to the entry for the other components of the daemon.
    pub fn view(&self) -> EntryView {
        EntryView::new(Arc::clone(&self.shared))
    }

    /// Address at which the server for peers listens; `None` if the settings configure no peers.
    pub fn peer_addr(&self) -> Option<SocketAddr> {
        self.peer_node.as_ref().map(PeerNode::addr)
    }

    /// Binds another server of this daemon, for operators, which uses a part of the connections of the entry and has the
    /// same limits at the stop.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind_internal(&self, addr: SocketAddr, settings: &Settings) -> IoResult<Server> {
        let (_, limits) = watch::channel(server_limits(settings));
        let server = Server::with_limits(addr, limits).await?;
        Ok(server.share_internal(&self.connections, self.connection_limits.probes))
    }

    /// Account of the bytes that are kept for connections and requests in flight.
    pub fn account(&self) -> &Arc<ByteAccount> {
        &self.shared.account
    }

    /// Whether the entry is ready for new requests: it has a configuration and a list of VMs, and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Shuts down the entry. Readiness fails at once, the listener closes after `shutdown_wait_ms` of the settings, and
    /// requests in flight are completed. A connection that has waited for its caller to read for as long is closed. Peers
    /// can reach the journals until the last request has ended.
    pub async fn close(self) {
        self.shared.is_draining.store(true, Ordering::Relaxed);
        self.stop.send_replace(true);
        let _ = self.server.await;
        self.shared.calls.finished().await;
        for actor in self.actors {
            actor.stop(None);
        }
        self.expiry.abort();
        if let Some(member) = self.member {
            member.leave().await;
        }
        if let Some(node) = self.peer_node {
            node.close().await;
        }
        log::info!("entry: {} stopped", self.shared.vm_id);
    }
}

fn start_peers(settings: &Settings, handler: PeerHandler) -> Result<Option<PeerNode>, EntryError> {
    let Some(peer) = &settings.peer else { return Ok(None) };
    let options =
        PeerOptions { timeout_ms: peer.timeout_ms, ping_interval_ms: peer.ping_interval_ms };
    Ok(Some(PeerNode::start(peer.listen, options, Arc::new(handler))?))
}

fn peer_handle(settings: &Settings, node: &PeerNode) -> PeerHandle {
    let translations =
        settings.peer.iter().flat_map(|peer| peer.address_translations.iter().copied()).collect();
    node.handle().with_address_overrides(translations)
}

/// Membership record of this daemon. Its incarnation is the wall-clock time, so that it is higher after a restart.
fn own_member(settings: &Settings, node: Option<&PeerNode>, addr: SocketAddr) -> Member {
    let advertised = settings.peer.as_ref().and_then(|peer| peer.advertise);
    Member {
        id: settings.entry.vm_id.clone(),
        domain: settings.entry.domain.clone(),
        addr: advertised.or(node.map(PeerNode::addr)).unwrap_or(addr),
        incarnation: Incarnation(Clock::unix_ms()),
        state: MemberState::Alive,
    }
}

async fn expire_journals(journals: Arc<Journals>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(EXPIRE_INTERVAL_MS));
    loop {
        ticks.tick().await;
        journals.expire();
    }
}

//! Components and counters that the requests of an entry use.

use crate::{
    admission::Admission, call_tasks::CallTasks, claim_store::ClaimStore, config::Config,
    journals::Journals, meters::Meters, peers::Peers, recovery_state::RecoveryState,
    serving_versions::ServingVersions, upstreams::Upstreams, version_pins::VersionPins,
};
use base::{Clock, VmId};
use conf::LimitSettings;
use limit::RetryBudgets;
use metrics_exporter_prometheus::PrometheusHandle;
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};
use tokio::sync::watch;
use upstream::EnginePool;
use web::ByteAccount;

/// State that all requests of an entry share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub vm_id: VmId,
    pub clock: Clock,
    pub limits: LimitSettings,
    /// Bytes that are kept for connections and bodies.
    pub account: Arc<ByteAccount>,
    pub config: watch::Receiver<Arc<Config>>,
    pub journals: Arc<Journals>,
    pub peers: Arc<Peers>,
    pub upstreams: Arc<Upstreams>,
    pub claims: ClaimStore,
    /// Running calls, for which a shutdown waits.
    pub calls: CallTasks,
    /// Retry budgets of the plain services.
    pub retries: RetryBudgets,
    pub admission: Arc<Admission>,
    pub engines: EnginePool,
    pub pins: Arc<VersionPins>,
    pub recovery: RecoveryState,
    pub serving: Arc<ServingVersions>,
    pub meters: Meters,
    /// Renders the response to `/metrics`, which is empty without it.
    pub metrics: Option<PrometheusHandle>,
    /// Whether the entry shuts down, so that it is not ready for new requests.
    pub is_draining: AtomicBool,
    /// Random number that makes the generation identifiers of this process unique.
    pub process_nonce: u64,
    /// Number of generation identifiers that were assigned.
    pub last_generation: AtomicU64,
}

impl Shared {
    /// Active configuration; the empty default with revision 0 before the first document was applied.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config.borrow())
    }

    /// Identifier for a new generation, unique across all entries.
    pub fn new_generation_id(&self) -> String {
        let number = self.last_generation.fetch_add(1, Ordering::Relaxed);
        format!("gen-{:016x}{number:08x}", self.process_nonce)
    }

    /// Whether the entry is ready for new requests: it has a configuration and a list of VMs, and is not shutting down.
    /// Without a list of VMs it knows neither upstreams nor the peers that hold journal replicas.
    pub fn is_ready(&self) -> bool {
        !self.is_draining.load(Ordering::Relaxed)
            && self.config.borrow().revision > 0
            && self.upstreams.has_list()
    }
}

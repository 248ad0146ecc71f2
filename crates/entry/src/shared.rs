//! State that all requests of an entry share.

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

/// State that all requests of an entry share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub vm_id: VmId,
    pub clock: Clock,
    pub limits: LimitSettings,
    pub config: watch::Receiver<Arc<Config>>,
    pub journals: Arc<Journals>,
    pub peers: Arc<Peers>,
    pub upstreams: Arc<Upstreams>,
    pub claims: ClaimStore,
    pub calls: CallTasks,
    pub retries: RetryBudgets,
    pub admission: Arc<Admission>,
    pub engines: EnginePool,
    pub pins: Arc<VersionPins>,
    pub recovery: RecoveryState,
    pub serving: Arc<ServingVersions>,
    pub meters: Meters,
    pub metrics: Option<PrometheusHandle>,
    pub is_draining: AtomicBool,
    pub process_nonce: u64,
    pub last_generation: AtomicU64,
}

impl Shared {
    /// Active configuration.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config.borrow())
    }

    /// Identifier for a new generation, unique across all entries.
    pub fn new_generation_id(&self) -> String {
        let number = self.last_generation.fetch_add(1, Ordering::Relaxed);
        format!("gen-{:016x}{number:08x}", self.process_nonce)
    }

    /// Whether the entry is ready for new requests. Without a list of VMs it knows neither upstreams nor the peers that
    /// hold journal replicas.
    pub fn is_ready(&self) -> bool {
        !self.is_draining.load(Ordering::Relaxed)
            && self.config.borrow().revision > 0
            && self.upstreams.has_list()
    }
}

//! Instance of a service, with the state that this daemon keeps on it.

use crate::{
    connection_pool::ConnectionPool, instance_entry::InstanceEntry, instance_rates::InstanceRates,
    service_rates::ServiceRates,
};
use base::lock;
use route::Health;
use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU32, Ordering},
};

/// How long after a failure an instance is chosen only if there is no other.
const FAILURE_BACKOFF_MS: u64 = 1_500;

/// An instance under one version of its registry entry; a changed entry creates a new `Instance`.
#[derive(Debug)]
pub struct Instance {
    /// Registry entry from which this `Instance` was created.
    pub entry: InstanceEntry,
    pub(crate) connections: ConnectionPool,
    /// Learned rates of the process, shared with earlier and later entries of it.
    pub rates: Arc<InstanceRates>,
    in_flight: AtomicU32,
    pending_prefills: AtomicU32,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    health: Health,
    /// End of the backoff after the last failure; 0 if there was none.
    backoff_until_ms: u64,
    is_retired: bool,
    /// Whether the instance has stated that it leaves.
    is_leaving: bool,
    /// When the instance last responded to a probe; 0 before the first response.
    last_response_ms: u64,
}

impl Instance {
    /// Creates an instance that has no requests in flight and has not failed.
    pub fn new(entry: InstanceEntry) -> Self {
        let service = Arc::new(ServiceRates::new(entry.service.clone()));
        let rates = Arc::new(InstanceRates::new(&entry, service));
        Self::with_rates(entry, rates)
    }

    /// Like `new`, with the learned rates of the process.
    pub(crate) fn with_rates(entry: InstanceEntry, rates: Arc<InstanceRates>) -> Self {
        let state = State {
            health: Health::warm(),
            backoff_until_ms: 0,
            is_retired: false,
            is_leaving: false,
            last_response_ms: 0,
        };
        Self {
            entry,
            connections: ConnectionPool::default(),
            rates,
            in_flight: AtomicU32::new(0),
            pending_prefills: AtomicU32::new(0),
            state: Mutex::new(state),
        }
    }

    /// Number of this daemon's requests in flight at the instance.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Number of this daemon's streams in flight that have no event yet, so that their prefill is not finished.
    pub fn pending_prefills(&self) -> u32 {
        self.pending_prefills.load(Ordering::Relaxed)
    }

    pub(crate) fn begin_prefill(&self) {
        self.pending_prefills.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end_prefill(&self) {
        self.pending_prefills.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn begin_request(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end_request(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records a request that succeeded, which ends the backoff.
    pub fn record_success(&self, now_ms: u64) {
        let mut state = self.state();
        state.health.record_success(now_ms);
        state.backoff_until_ms = 0;
    }

    /// Records a request that failed through the fault of the instance, which starts the backoff.
    pub fn record_failure(&self, now_ms: u64) {
        let mut state = self.state();
        state.health.record_failure(now_ms);
        state.backoff_until_ms = now_ms + FAILURE_BACKOFF_MS;
    }

    /// Closes the instance to new requests: its registry entry was removed or changed, or its address belongs to
    /// another instance.
    pub fn retire(&self) {
        self.state().is_retired = true;
        self.connections.clear();
    }

    /// Closes the instance to new requests, because it has stated that it leaves. Requests in flight go on. Returns
    /// whether that was not known.
    pub(crate) fn leave(&self) -> bool {
        !std::mem::replace(&mut self.state().is_leaving, true)
    }

    /// Records that the instance responded to a probe, so that it is known to be alive.
    pub fn record_response(&self, now_ms: u64) {
        self.state().last_response_ms = now_ms;
    }

    /// Whether the instance responded to a probe within the last `within_ms`.
    pub fn has_responded(&self, within_ms: u64, now_ms: u64) -> bool {
        now_ms < self.state().last_response_ms + within_ms
    }

    /// Whether the instance takes new requests: it is neither draining, leaving nor retired.
    pub fn accepts_requests(&self) -> bool {
        let state = self.state();
        !self.entry.is_draining && !state.is_retired && !state.is_leaving
    }

    /// Whether the backoff after a failure has not ended yet, so that other instances are preferred.
    pub fn has_failed_recently(&self, now_ms: u64) -> bool {
        now_ms < self.state().backoff_until_ms
    }

    /// Fraction of the usual load that the instance gets, which is reduced after failures.
    pub fn weight(&self, now_ms: u64) -> f64 {
        self.state().health.weight(now_ms)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

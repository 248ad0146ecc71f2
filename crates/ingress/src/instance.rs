//! Instance of a service as this daemon sees it.

use crate::{connections::Connections, instance_entry::InstanceEntry};
use base::lock;
use route::Health;
use std::sync::{
    Mutex, MutexGuard,
    atomic::{AtomicU32, Ordering},
};

/// Time for which an instance that failed is chosen only if there is no other.
const AVOID_MS: u64 = 1_500;

/// One lifetime of an instance.
#[derive(Debug)]
pub struct Instance {
    /// What the platform says of it.
    pub entry: InstanceEntry,
    pub(crate) connections: Connections,
    in_flight: AtomicU32,
    pending_prefills: AtomicU32,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    health: Health,
    avoid_until_ms: u64,
    is_retired: bool,
    alive_at_ms: u64,
}

impl Instance {
    /// An instance that was listed for the first time.
    pub fn new(entry: InstanceEntry) -> Self {
        let state =
            State { health: Health::warm(), avoid_until_ms: 0, is_retired: false, alive_at_ms: 0 };
        Self {
            entry,
            connections: Connections::default(),
            in_flight: AtomicU32::new(0),
            pending_prefills: AtomicU32::new(0),
            state: Mutex::new(state),
        }
    }

    /// Requests of this daemon that are in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Requests of this daemon whose prompt is not read yet.
    pub fn pending_prefills(&self) -> u32 {
        self.pending_prefills.load(Ordering::Relaxed)
    }

    pub(crate) fn begin_prompt(&self) {
        self.pending_prefills.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end_prompt(&self) {
        self.pending_prefills.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn enter(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn leave(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Takes over a request that succeeded.
    pub fn succeeded(&self, now_ms: u64) {
        let mut state = self.state();
        state.health.record_success(now_ms);
        state.avoid_until_ms = 0;
    }

    /// Takes over a request that failed through the instance's fault.
    pub fn failed(&self, now_ms: u64) {
        let mut state = self.state();
        state.health.record_failure(now_ms);
        state.avoid_until_ms = now_ms + AVOID_MS;
    }

    /// Takes over that it is gone: its entry was removed, or another instance has its address.
    pub fn retire(&self) {
        self.state().is_retired = true;
        self.connections.clear();
    }

    /// Takes over that it answered.
    pub fn heard(&self, now_ms: u64) {
        self.state().alive_at_ms = now_ms;
    }

    /// Whether it answered within the last `within_ms`.
    pub fn was_heard(&self, within_ms: u64, now_ms: u64) -> bool {
        now_ms < self.state().alive_at_ms + within_ms
    }

    /// Whether new requests may go there at all.
    pub fn is_open(&self) -> bool {
        !self.entry.is_draining && !self.state().is_retired
    }

    /// Whether it failed a short while ago.
    pub fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.state().avoid_until_ms
    }

    /// Share of the usual load that it takes.
    pub fn share(&self, now_ms: u64) -> f64 {
        self.state().health.weight(now_ms)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

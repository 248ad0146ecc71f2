//! Table of upstreams with this entry's in-flight counts.

use crate::upstream_guard::UpstreamGuard;
use base::{Clock, DomainName, HashMap, ServiceName, VmId};
use rand::{SeedableRng, rngs::SmallRng};
use recovery::VmSign;
use route::Candidate;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
};
use tokio::sync::watch;
use wire::platform::{Vm, VmRole, VmState};

/// How long an upstream's announcement holds. A VM that leaves is gone from the list by then; a service that restarted
/// on the same VM and stays gets work again.
const LEAVING_HOLD_MS: u64 = 600_000;

/// Upstreams that sent something lately, below which recovery attempts use the others as well. Fewer could not take the
/// streams of a failed engine without queues.
const HEARD_UPSTREAMS: usize = 3;

/// Upstream as this entry knows it.
#[derive(Clone, Debug)]
struct Upstream {
    vm: Vm,
    in_flight: Arc<AtomicU32>,
    /// Until when the upstream's own announcement holds against a list that still shows it as live.
    leaving_until_ms: Option<u64>,
    heard_ms: Arc<AtomicU64>,
}

#[derive(Debug)]
struct Inner {
    upstreams: HashMap<VmId, Upstream>,
    rng: SmallRng,
}

/// Upstreams from the platform's list of VMs.
#[derive(Debug)]
pub(crate) struct Upstreams {
    domain: DomainName,
    clock: Clock,
    inner: Mutex<Inner>,
    changes: watch::Sender<()>,
}

impl Upstreams {
    pub fn new(domain: &DomainName, seed: u64) -> Self {
        let inner = Inner { upstreams: HashMap::default(), rng: SmallRng::seed_from_u64(seed) };
        Self {
            domain: domain.clone(),
            clock: Clock::start(),
            inner: Mutex::new(inner),
            changes: watch::Sender::new(()),
        }
    }

    /// Takes over a new list of VMs; counts of upstreams that stay are kept.
    pub fn update(&self, vms: Vec<Vm>) {
        let mut inner = self.lock();
        let mut upstreams = HashMap::default();
        let before = inner.upstreams.clone();
        for vm in vms.into_iter().filter(|vm| vm.role != VmRole::Entry) {
            let upstream = match inner.upstreams.remove(&vm.id) {
                Some(known) => Upstream { vm, ..known },
                None => Upstream {
                    vm,
                    in_flight: Arc::default(),
                    leaving_until_ms: None,
                    heard_ms: Arc::default(),
                },
            };
            upstreams.insert(upstream.vm.id.clone(), upstream);
        }
        let is_same = before.len() == upstreams.len()
            && upstreams.iter().all(|(id, new)| before.get(id).is_some_and(|old| old.vm == new.vm));
        inner.upstreams = upstreams;
        drop(inner);
        if !is_same {
            self.changes.send_replace(());
        }
    }

    /// Adds the upstreams to `addrs` that have requests of this entry and sent nothing since `since_ms`.
    pub fn add_quiet(&self, since_ms: u64, addrs: &mut Vec<SocketAddr>) {
        let inner = self.lock();
        let quiet = inner.upstreams.values().filter(|upstream| {
            upstream.in_flight.load(Ordering::Relaxed) > 0
                && upstream.heard_ms.load(Ordering::Relaxed) < since_ms
        });
        addrs.extend(quiet.map(|upstream| upstream.vm.addr));
    }

    /// Tells of each change of the list.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// What the list says about the engine at `addr`; none if it is live.
    pub fn sign(&self, addr: SocketAddr) -> Option<VmSign> {
        let inner = self.lock();
        match inner.upstreams.values().find(|upstream| upstream.vm.addr == addr) {
            Some(upstream) if upstream.vm.state == VmState::Live => None,
            Some(_) => Some(VmSign::Leaving),
            None => Some(VmSign::Removed),
        }
    }

    /// Chooses an upstream of `service`, if possible not one at an address in `avoid`, and counts a request there.
    pub fn choose(&self, service: &ServiceName, avoid: &[SocketAddr]) -> Option<UpstreamGuard> {
        self.choose_if(service, 1, |upstream| !avoid.contains(&upstream.vm.addr))
            .or_else(|| self.choose_if(service, 1, |_| true))
    }

    /// Chooses an upstream of `service` that sent something since `since_ms` and is not at an address in `avoid`, and
    /// counts a request there; none if there are too few of them to share the load.
    pub fn choose_heard(
        &self,
        service: &ServiceName,
        avoid: &[SocketAddr],
        since_ms: u64,
    ) -> Option<UpstreamGuard> {
        self.choose_if(service, HEARD_UPSTREAMS, |upstream| {
            upstream.heard_ms.load(Ordering::Relaxed) >= since_ms
                && !avoid.contains(&upstream.vm.addr)
        })
    }

    /// Chooses among the usable upstreams for which `is_wanted` holds, if there are at least `least`.
    fn choose_if(
        &self,
        service: &ServiceName,
        least: usize,
        is_wanted: impl Fn(&Upstream) -> bool,
    ) -> Option<UpstreamGuard> {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        let Inner { upstreams, rng } = &mut *inner;
        let usable: Vec<&Upstream> = upstreams
            .values()
            .filter(|upstream| upstream.vm.service.as_ref() == Some(service))
            .filter(|upstream| upstream.vm.state == VmState::Live)
            .filter(|upstream| upstream.leaving_until_ms.is_none_or(|until| until < now_ms))
            .filter(|upstream| is_wanted(upstream))
            .collect();
        if usable.len() < least {
            return None;
        }
        let candidates: Vec<Candidate> = usable
            .iter()
            .map(|upstream| Candidate {
                in_flight: upstream.in_flight.load(Ordering::Relaxed),
                is_local: upstream.vm.domain == self.domain,
            })
            .collect();
        let chosen = usable[route::choose(&candidates, rng)?];
        Some(UpstreamGuard::new(
            chosen.vm.addr,
            Arc::clone(&chosen.in_flight),
            Arc::clone(&chosen.heard_ms),
        ))
    }

    /// Upstreams in order of their identifiers.
    pub fn list(&self) -> Vec<Vm> {
        let inner = self.lock();
        let mut vms: Vec<Vm> =
            inner.upstreams.values().map(|upstream| upstream.vm.clone()).collect();
        vms.sort_by(|a, b| a.id.cmp(&b.id));
        vms
    }

    /// Sends no new work to the upstream at `addr`, which has announced that it leaves.
    pub fn mark_leaving(&self, addr: SocketAddr) {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        for upstream in inner.upstreams.values_mut().filter(|upstream| upstream.vm.addr == addr) {
            if upstream.leaving_until_ms.is_none() {
                log::info!("upstreams: {} announced that it leaves", upstream.vm.id);
            }
            upstream.leaving_until_ms = Some(now_ms + LEAVING_HOLD_MS);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

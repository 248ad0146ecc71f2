//! Table of upstreams with this entry's in-flight counts.

use crate::upstream_guard::UpstreamGuard;
use base::{DomainName, HashMap, ServiceName, VmId};
use rand::{SeedableRng, rngs::SmallRng};
use route::Candidate;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};
use wire::platform::{Vm, VmRole, VmState};

/// Upstream as this entry knows it.
#[derive(Clone, Debug)]
struct Upstream {
    vm: Vm,
    in_flight: Arc<AtomicU32>,
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
    inner: Mutex<Inner>,
}

impl Upstreams {
    pub fn new(domain: &DomainName, seed: u64) -> Self {
        let inner = Inner { upstreams: HashMap::default(), rng: SmallRng::seed_from_u64(seed) };
        Self { domain: domain.clone(), inner: Mutex::new(inner) }
    }

    /// Takes over a new list of VMs; counts of upstreams that stay are kept.
    pub fn update(&self, vms: Vec<Vm>) {
        let mut inner = self.lock();
        let mut upstreams = HashMap::default();
        for vm in vms.into_iter().filter(|vm| vm.role != VmRole::Entry) {
            let in_flight = match inner.upstreams.remove(&vm.id) {
                Some(known) => known.in_flight,
                None => Arc::default(),
            };
            upstreams.insert(vm.id.clone(), Upstream { vm, in_flight });
        }
        inner.upstreams = upstreams;
    }

    /// Chooses an upstream of `service`, if possible not one at an address in `avoid`, and counts a request there.
    pub fn choose(&self, service: &ServiceName, avoid: &[SocketAddr]) -> Option<UpstreamGuard> {
        let mut inner = self.lock();
        let Inner { upstreams, rng } = &mut *inner;
        let mut usable: Vec<&Upstream> = upstreams
            .values()
            .filter(|upstream| upstream.vm.service.as_ref() == Some(service))
            .filter(|upstream| upstream.vm.state == VmState::Live)
            .collect();
        if usable.iter().any(|upstream| !avoid.contains(&upstream.vm.addr)) {
            usable.retain(|upstream| !avoid.contains(&upstream.vm.addr));
        }
        let candidates: Vec<Candidate> = usable
            .iter()
            .map(|upstream| Candidate {
                in_flight: upstream.in_flight.load(Ordering::Relaxed),
                is_local: upstream.vm.domain == self.domain,
            })
            .collect();
        let chosen = usable[route::choose(&candidates, rng)?];
        Some(UpstreamGuard::new(chosen.vm.addr, Arc::clone(&chosen.in_flight)))
    }

    /// Upstreams in order of their identifiers.
    pub fn list(&self) -> Vec<Vm> {
        let inner = self.lock();
        let mut vms: Vec<Vm> =
            inner.upstreams.values().map(|upstream| upstream.vm.clone()).collect();
        vms.sort_by(|a, b| a.id.cmp(&b.id));
        vms
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Load balancing among the upstreams in the list of VMs, and the order in which engines are polled.

use crate::{
    engine_poll::EnginePoll, upstream_guard::UpstreamGuard, upstream_state::UpstreamState,
};
use base::{Clock, DomainName, HashMap, ServiceName, VmId, lock};
use limit::Class;
use rand::{SeedableRng, rngs::SmallRng};
use recovery::EngineSignal;
use route::{Candidate, Health, Policy};
use std::{
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
};
use tokio::sync::watch;
use wire::{
    engine::EngineRequest,
    platform::{Vm, VmRole, VmState},
};

/// One in this many load polls goes to an engine in another failure domain.
const REMOTE_POLL_PERIOD: u64 = 4;

/// Smallest number of recently active engines to which recovery attempts are restricted. Fewer engines could not run
/// the streams of a failed engine without queueing, so below this number all engines are candidates.
const MIN_ACTIVE_UPSTREAMS: usize = 3;

/// Engine or service VM of the platform's list, with what this entry knows about its load and health.
#[derive(Clone, Debug)]
struct Upstream {
    vm: Vm,
    state: UpstreamState,
}

#[derive(Debug)]
struct Inner {
    upstreams: HashMap<VmId, Upstream>,
    /// Upstreams of each service that are listed as live, sorted by VM identifier.
    by_service: HashMap<ServiceName, Vec<VmId>>,
    /// Engines in this entry's failure domain, and engines in the other ones, in the order in which they are polled.
    poll_order: [Vec<VmId>; 2],
    /// Number of load polls, which determines the next engine to be polled.
    load_poll_count: u64,
    /// Number of polls of cache events, which determines the next engine to be polled.
    cache_poll_count: u64,
    /// Number of chosen upstreams, which round robin uses.
    choice_count: u64,
    rng: SmallRng,
}

/// Table of the engines and service VMs in the platform's list of VMs.
///
/// An upstream is leaving if its VM is listed as such or if it announced its removal. A leaving upstream is drained: it
/// receives no new requests, and its running requests finish.
#[derive(Debug)]
pub(crate) struct Upstreams {
    domain: DomainName,
    policy: Policy,
    clock: Clock,
    inner: Mutex<Inner>,
    /// Notifies generations of changes of the list.
    changes: watch::Sender<()>,
    has_list: AtomicBool,
}

impl Upstreams {
    pub fn new(domain: &DomainName, policy: Policy, clock: Clock, seed: u64) -> Self {
        let inner = Inner {
            upstreams: HashMap::default(),
            by_service: HashMap::default(),
            poll_order: [Vec::new(), Vec::new()],
            load_poll_count: 0,
            cache_poll_count: 0,
            choice_count: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        Self {
            domain: domain.clone(),
            policy,
            clock,
            inner: Mutex::new(inner),
            changes: watch::Sender::new(()),
            has_list: AtomicBool::new(false),
        }
    }

    /// Replaces the table with the upstreams of a new list of VMs, and notifies the receivers of `changes` if the
    /// upstreams differ. The state of upstreams that are in both lists is kept.
    pub fn update(&self, vms: Vec<Vm>) {
        let mut inner = self.lock();
        let is_first_list = inner.upstreams.is_empty();
        let before: HashMap<VmId, Vm> = inner
            .upstreams
            .iter()
            .map(|(id, upstream)| (id.clone(), upstream.vm.clone()))
            .collect();
        let mut upstreams = HashMap::default();
        let mut by_service: HashMap<ServiceName, Vec<VmId>> = HashMap::default();
        let mut poll_order = [Vec::new(), Vec::new()];
        for vm in vms.into_iter().filter(|vm| vm.role != VmRole::Entry) {
            let state = match inner.upstreams.remove(&vm.id) {
                Some(known) => known.state,
                // Upstreams in the first list were running before this entry started, so they need no slow start.
                None if is_first_list => UpstreamState::new(self.clock, Health::warm()),
                None => UpstreamState::new(self.clock, Health::warming_up(self.clock.now_ms())),
            };
            if vm.role == VmRole::Engine {
                poll_order[usize::from(vm.domain != self.domain)].push(vm.id.clone());
            }
            if vm.state == VmState::Live
                && let Some(service) = &vm.service
            {
                by_service.entry(service.clone()).or_default().push(vm.id.clone());
            }
            upstreams.insert(vm.id.clone(), Upstream { vm, state });
        }
        for ids in by_service.values_mut() {
            ids.sort_unstable();
            ids.dedup();
        }
        let is_unchanged = before.len() == upstreams.len()
            && upstreams.iter().all(|(id, new)| before.get(id).is_some_and(|old| *old == new.vm));
        inner.upstreams = upstreams;
        inner.by_service = by_service;
        inner.poll_order = poll_order;
        drop(inner);
        self.has_list.store(true, Ordering::Relaxed);
        if !is_unchanged {
            self.changes.send_replace(());
        }
    }

    /// Whether a list of VMs was received since the entry started.
    pub fn has_list(&self) -> bool {
        self.has_list.load(Ordering::Relaxed)
    }

    /// Adds to `addrs` the upstreams that run requests of this entry and have sent nothing since `since_ms`.
    pub fn add_unresponsive(&self, since_ms: u64, addrs: &mut Vec<SocketAddr>) {
        let inner = self.lock();
        let unresponsive = inner
            .upstreams
            .values()
            .filter(|upstream| upstream.state.is_unresponsive_since(since_ms));
        addrs.extend(unresponsive.map(|upstream| upstream.vm.addr));
    }

    /// Receiver that is notified when an upstream was added, removed or changed in the list.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// What the list says about the engine at `addr`; `None` if it is listed as live.
    pub fn signal(&self, addr: SocketAddr) -> Option<EngineSignal> {
        let inner = self.lock();
        match inner.upstreams.values().find(|upstream| upstream.vm.addr == addr) {
            Some(upstream) if upstream.vm.state == VmState::Live => None,
            Some(_) => Some(EngineSignal::Leaving),
            None => Some(EngineSignal::Removed),
        }
    }

    /// VMs of all upstreams, sorted by VM identifier.
    pub fn list(&self) -> Vec<Vm> {
        let inner = self.lock();
        let mut vms: Vec<Vm> =
            inner.upstreams.values().map(|upstream| upstream.vm.clone()).collect();
        vms.sort_by(|a, b| a.id.cmp(&b.id));
        vms
    }

    /// Stops sending new requests to the upstream at `addr`, which has announced in a response that it is leaving.
    pub fn mark_leaving(&self, addr: SocketAddr) {
        let inner = self.lock();
        for upstream in inner.upstreams.values().filter(|upstream| upstream.vm.addr == addr) {
            if upstream.state.mark_leaving() {
                log::info!("upstreams: VM {} announced that it is leaving", upstream.vm.id);
            }
        }
    }

    /// Chooses an engine for `request` and counts the request there until the returned guard is dropped. Addresses in
    /// `avoid` are used only if there is no other engine. With `active_since_ms`, only engines that have sent something
    /// since then are considered, provided that there are at least `MIN_ACTIVE_UPSTREAMS` of them.
    ///
    /// `None` if there is no usable engine, or if `class` is not short and all engines are full except for the reserve
    /// for short requests. Only the policy `Scored` has this reserve.
    pub fn choose_engine(
        &self,
        service: &ServiceName,
        request: &EngineRequest,
        class: Class,
        avoid: &[SocketAddr],
        active_since_ms: Option<u64>,
    ) -> Option<UpstreamGuard> {
        let pinned = [request.model.as_str(), &request.version, &request.adapter];
        let blocks = if request.messages.is_empty() {
            route::block_hashes(pinned, &request.prompt)
        } else {
            let lines = request.messages.iter();
            let prompt: String =
                lines.map(|line| format!("{}: {}\n", line.role, line.content)).collect();
            route::block_hashes(pinned, &prompt)
        };
        self.choose_with(service, Some(request), &blocks, class, avoid, active_since_ms)
    }

    /// Chooses an upstream of a plain service and counts a request there until the returned guard is dropped. Addresses
    /// in `avoid` are used only if there is no other upstream. `None` if there is no usable upstream.
    pub fn choose(&self, service: &ServiceName, avoid: &[SocketAddr]) -> Option<UpstreamGuard> {
        self.choose_with(service, None, &[], Class::Short, avoid, None)
    }

    fn choose_with(
        &self,
        service: &ServiceName,
        request: Option<&EngineRequest>,
        blocks: &[u64],
        class: Class,
        avoid: &[SocketAddr],
        active_since_ms: Option<u64>,
    ) -> Option<UpstreamGuard> {
        let mut inner = self.lock();
        let Inner { upstreams, by_service, rng, choice_count, .. } = &mut *inner;
        let mut usable: Vec<&Upstream> = available(upstreams, by_service, service).collect();
        if usable.iter().any(|upstream| !avoid.contains(&upstream.vm.addr)) {
            usable.retain(|upstream| !avoid.contains(&upstream.vm.addr));
        }
        if let Some(since_ms) = active_since_ms {
            let is_active_since = |upstream: &&Upstream| upstream.state.is_active_since(since_ms);
            if usable.iter().copied().filter(is_active_since).count() >= MIN_ACTIVE_UPSTREAMS {
                usable.retain(is_active_since);
            }
        }
        let mut candidates: Vec<Candidate> = usable
            .iter()
            .map(|upstream| {
                upstream.state.candidate(request, blocks, upstream.vm.domain == self.domain)
            })
            .collect();
        if self.policy == Policy::Scored && class != Class::Short {
            let mut open = candidates.iter().map(Candidate::has_unreserved_capacity);
            usable.retain(|_| open.next().unwrap_or(true));
            candidates.retain(Candidate::has_unreserved_capacity);
        }
        let position = route::choose(self.policy, &candidates, *choice_count, rng)?;
        *choice_count += 1;
        let place = if candidates[position].is_local { "local" } else { "remote" };
        metrics::counter!("route_choices_total", "place" => place).increment(1);
        let hits = blocks.len() as u64 - u64::from(candidates[position].missing_blocks);
        metrics::counter!("route_prefix_blocks_total", "expected" => "hit").increment(hits);
        let chosen = usable[position];
        Some(UpstreamGuard::new(chosen.vm.addr, chosen.state.clone(), blocks))
    }

    /// Number of requests that this entry may have in flight at the upstreams of `service`, and how many of them are
    /// reserved for short requests; `None` without a usable upstream.
    pub fn capacity(&self, service: &ServiceName) -> Option<(u32, u32)> {
        let inner = self.lock();
        let capacities = available(&inner.upstreams, &inner.by_service, service)
            .map(|upstream| upstream.state.capacity());
        capacities.reduce(|sum, next| (sum.0.saturating_add(next.0), sum.1.saturating_add(next.1)))
    }

    /// The next engine whose load is to be polled. Most polls go to engines in this entry's failure domain, since
    /// requests are preferably sent there. `None` if there is no engine to poll, or all of them are ejected.
    pub fn next_load_poll(&self) -> Option<EnginePoll> {
        let mut inner = self.lock();
        inner.load_poll_count += 1;
        let poll_number = inner.load_poll_count;
        let is_remote = poll_number.is_multiple_of(REMOTE_POLL_PERIOD);
        let [local, remote] = &inner.poll_order;
        let engines =
            if (is_remote || local.is_empty()) && !remote.is_empty() { remote } else { local };
        // Local and remote engines are rotated separately, so each of the two sequences needs its own counter.
        let rotation = if is_remote {
            poll_number / REMOTE_POLL_PERIOD
        } else {
            poll_number - poll_number / REMOTE_POLL_PERIOD
        };
        // Ejected engines are skipped, since polling them would delay the polls of the other engines.
        let listed: Vec<&Upstream> =
            engines.iter().filter_map(|id| inner.upstreams.get(id)).collect();
        let polled = listed.iter().filter(|upstream| !upstream.state.is_ejected());
        let polled: Vec<&Upstream> = polled.copied().collect();
        self.poll(polled.get((rotation as usize).checked_rem(polled.len())?)?)
    }

    /// The next engine whose cache events are to be polled. These are polled only from engines in this entry's failure
    /// domain. `None` if this domain has no engine.
    pub fn next_cache_poll(&self) -> Option<EnginePoll> {
        let mut inner = self.lock();
        inner.cache_poll_count += 1;
        let local = &inner.poll_order[0];
        let id = local.get((inner.cache_poll_count as usize).checked_rem(local.len())?)?;
        self.poll(inner.upstreams.get(id)?)
    }

    fn poll(&self, upstream: &Upstream) -> Option<EnginePoll> {
        let (addr, state) = (upstream.vm.addr, upstream.state.clone());
        Some(EnginePoll { addr, state, clock: self.clock })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

/// Upstreams of a service that are listed as live and have not announced that they are leaving, sorted by VM
/// identifier.
fn available<'u>(
    upstreams: &'u HashMap<VmId, Upstream>,
    by_service: &'u HashMap<ServiceName, Vec<VmId>>,
    service: &ServiceName,
) -> impl Iterator<Item = &'u Upstream> {
    let ids = by_service.get(service).map_or(&[][..], Vec::as_slice);
    let upstreams = ids.iter().filter_map(|id| upstreams.get(id));
    upstreams.filter(|upstream| !upstream.state.is_leaving())
}

//! Table of the other daemons and the choice of replica holders.

use crate::replica_holder::ReplicaHolder;
use base::{Clock, DomainName, HashMap, VmId, lock, stable_hash};
use member::{Member, MemberState};
use peer::PeerHandle;
use std::{
    cmp::Reverse,
    sync::{Mutex, MutexGuard},
};
use wire::platform::{Vm, VmRole, VmState};

/// Time for which a daemon is not chosen as a replica holder after it failed an append to a journal replica.
const FAILED_MS: u64 = 2_000;

#[derive(Debug, Default)]
struct Inner {
    /// Other entries in the platform's list of VMs that have a peer address.
    vms: Vec<Vm>,
    /// Other daemons that the membership counts as live, including suspects.
    live: Vec<Member>,
    /// Time of the last failed append of each daemon.
    failed_at_ms: HashMap<VmId, u64>,
}

/// Other daemons: the live members, or the entries in the platform's list of VMs while no live member is known.
#[derive(Debug)]
pub(crate) struct Peers {
    id: VmId,
    domain: DomainName,
    clock: Clock,
    handle: Option<PeerHandle>,
    inner: Mutex<Inner>,
}

impl Peers {
    pub fn new(id: VmId, domain: DomainName, clock: Clock, handle: Option<PeerHandle>) -> Self {
        Self { id, domain, clock, handle, inner: Mutex::default() }
    }

    /// Identifier of the VM that this daemon runs on.
    pub fn own_id(&self) -> &VmId {
        &self.id
    }

    /// Handle for requests to peers; `None` if the settings configure no peers.
    pub fn handle(&self) -> Option<&PeerHandle> {
        self.handle.as_ref()
    }

    /// Replaces the known VMs with the other entries in `vms` that have a peer address.
    pub fn update(&self, vms: &[Vm]) {
        let is_peer =
            |vm: &&Vm| vm.role == VmRole::Entry && vm.peer_addr.is_some() && vm.id != self.id;
        self.lock().vms = vms.iter().filter(is_peer).cloned().collect();
    }

    /// Replaces the other daemons that the membership counts as live.
    pub fn set_live(&self, live: Vec<Member>) {
        self.lock().live = live;
    }

    /// Finds another daemon by its identifier; `None` if it is unknown. A daemon that is not a live member may still be
    /// reachable, so the platform's list is searched as well.
    pub fn find(&self, id: &VmId) -> Option<ReplicaHolder> {
        let inner = self.lock();
        let live = inner.live.iter().find(|member| member.id == *id).map(holder_from_member);
        live.or_else(|| inner.vms.iter().find(|vm| vm.id == *id).and_then(holder_from_vm))
    }

    /// All live members except this daemon, or the other entries in the platform's list if no live member is known.
    pub fn all(&self) -> Vec<ReplicaHolder> {
        let inner = self.lock();
        if inner.live.is_empty() {
            inner.vms.iter().filter_map(holder_from_vm).collect()
        } else {
            inner.live.iter().map(holder_from_member).collect()
        }
    }

    /// Chooses a replica holder for a generation by rendezvous hashing over the live daemons. Daemons in another
    /// failure domain are preferred. Suspected daemons, those whose VM is listed as leaving, and those that recently
    /// failed an append are excluded. `None` if no daemon is left, or if the settings configure no peers.
    pub fn choose_holder(&self, generation: &str) -> Option<ReplicaHolder> {
        self.handle.as_ref()?;
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        inner.failed_at_ms.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < FAILED_MS);
        let rank = |id: &VmId, domain: &DomainName| {
            (*domain == self.domain, Reverse(score(generation, id)))
        };
        let is_usable = |id: &VmId| {
            let is_leaving = |vm: &Vm| vm.id == *id && vm.state == VmState::Leaving;
            !inner.failed_at_ms.contains_key(id) && !inner.vms.iter().any(is_leaving)
        };
        if inner.live.is_empty() {
            let usable = inner.vms.iter().filter(|vm| is_usable(&vm.id));
            return usable.min_by_key(|vm| rank(&vm.id, &vm.domain)).and_then(holder_from_vm);
        }
        let alive = inner.live.iter().filter(|member| member.state == MemberState::Alive);
        let usable = alive.filter(|member| is_usable(&member.id));
        usable.min_by_key(|member| rank(&member.id, &member.domain)).map(holder_from_member)
    }

    /// Records that the daemon `id` failed an append, so that it is not chosen as a replica holder for `FAILED_MS`.
    pub fn mark_failed(&self, id: &VmId) {
        let now_ms = self.clock.now_ms();
        self.lock().failed_at_ms.insert(id.clone(), now_ms);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

fn holder_from_vm(vm: &Vm) -> Option<ReplicaHolder> {
    Some(ReplicaHolder { id: vm.id.clone(), addr: vm.peer_addr? })
}

fn holder_from_member(member: &Member) -> ReplicaHolder {
    ReplicaHolder { id: member.id.clone(), addr: member.addr }
}

/// Rank of a daemon for a generation in rendezvous hashing; the daemon with the highest score is chosen.
fn score(generation: &str, id: &VmId) -> u64 {
    stable_hash(&(generation, id))
}

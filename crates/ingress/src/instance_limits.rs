//! Limits and pauses that instances name in their answers, and this daemon's share in the limits.

use crate::{instance::Instance, instance_entry::InstanceId};
use base::{HashMap, lock, stable_hash};
use limit::{FleetShare, UpstreamLimitChange, UpstreamLimits, UpstreamPauses};
use std::{net::SocketAddr, sync::Mutex};

/// Time after a request could not be borrowed in which none is asked for again, so that a fleet without spare requests
/// is not busy with asking.
const BORROW_PAUSE_MS: u64 = 200;

/// Limits of instances, with the log lines of their changes.
#[derive(Debug, Default)]
pub(crate) struct InstanceLimits {
    limits: Mutex<UpstreamLimits>,
    /// Times for which instances want no requests from this daemon.
    pauses: Mutex<UpstreamPauses>,
    daemons: Mutex<Daemons>,
    /// Instances for which no request could be borrowed, each with the time until which none is asked for.
    borrow_pauses: Mutex<HashMap<InstanceId, u64>>,
}

/// Identifiers of the daemons, which are the same at each of them.
#[derive(Debug, Default)]
struct Daemons {
    own: u64,
    listed: Vec<u64>,
    addrs: HashMap<u64, SocketAddr>,
}

impl InstanceLimits {
    /// Sets the peer address of this daemon.
    pub fn set_own(&self, addr: SocketAddr) {
        lock(&self.daemons).own = daemon_id(addr);
    }

    /// Replaces the list of daemons, given by their peer addresses.
    pub fn set_daemons(&self, addrs: &[SocketAddr]) {
        let mut daemons = lock(&self.daemons);
        daemons.listed = addrs.iter().copied().map(daemon_id).collect();
        daemons.addrs = addrs.iter().map(|&addr| (daemon_id(addr), addr)).collect();
    }

    /// Records the limit in requests per second that an answer of the instance names; `None` if it names none.
    pub fn record(
        &self,
        instance: &Instance,
        rate_per_s: Option<f64>,
        daemons: usize,
        now_ms: u64,
    ) {
        let entry = &instance.entry;
        let mut limits = lock(&self.limits);
        if rate_per_s.is_none() && limits.is_empty() {
            return;
        }
        let change = limits.record(&entry.id, entry.started_unix_ms, rate_per_s, now_ms);
        let Some(change) = change else { return };
        let known = lock(&self.daemons);
        let share = known.share(daemons);
        let own_per_s = |rate_per_s| share.rate_per_s(&entry.id, rate_per_s);
        let id = &entry.id;
        match change {
            UpstreamLimitChange::Named { new_per_s } => {
                log::info!(
                    "limit: instance={id} named limit_per_s={new_per_s} share_per_s={:.3} daemons={daemons}",
                    own_per_s(new_per_s)
                );
            }
            UpstreamLimitChange::Changed { old_per_s, new_per_s } => log::info!(
                "limit: instance={id} changed limit_per_s={new_per_s} before={old_per_s} share_per_s={:.3} \
                 daemons={daemons}",
                own_per_s(new_per_s)
            ),
            UpstreamLimitChange::Ended { old_per_s } => {
                log::info!("limit: instance={id} ended, before={old_per_s}");
            }
        }
        metrics::counter!("upstream_limit_changes_total").increment(1);
    }

    /// Records that the instance wants no requests from this daemon for `pause_ms`.
    pub fn record_pause(&self, instance: &Instance, pause_ms: u64, now_ms: u64) {
        let entry = &instance.entry;
        if lock(&self.pauses).record(&entry.id, entry.started_unix_ms, pause_ms, now_ms) {
            log::info!("limit: instance={} wants no requests for {pause_ms} ms", entry.id);
            metrics::counter!("upstream_pauses_total").increment(1);
        }
    }

    /// Time until the instance wants requests from this daemon; 0 if it wants them now.
    pub fn pause_ms(&self, instance: &Instance, now_ms: u64) -> u64 {
        let entry = &instance.entry;
        lock(&self.pauses).wait_ms(&entry.id, entry.started_unix_ms, now_ms)
    }

    /// Forgets what instances stated a long time ago. Whether they are listed does not matter: the entry of one that does
    /// not reach the platform lapses, and comes back for the same run.
    pub fn forget(&self, now_ms: u64) {
        lock(&self.pauses).forget(now_ms);
        lock(&self.limits).forget(now_ms);
        lock(&self.borrow_pauses).retain(|_, until_ms| *until_ms > now_ms);
    }

    /// Whether no instance has a limit or wants no requests.
    pub fn is_empty(&self, now_ms: u64) -> bool {
        lock(&self.limits).is_empty() && lock(&self.pauses).is_empty(now_ms)
    }

    /// Whether a request may be sent to the instance now.
    pub fn allows(&self, instance: &Instance, daemons: usize, now_ms: u64) -> bool {
        self.wait_ms(instance, daemons, now_ms) == Some(0)
    }

    /// Time until a request may be sent to the instance; `None` if this daemon has no share in its limit.
    pub fn wait_ms(&self, instance: &Instance, daemons: usize, now_ms: u64) -> Option<u64> {
        let entry = &instance.entry;
        let pause_ms = self.pause_ms(instance, now_ms);
        let mut limits = lock(&self.limits);
        if limits.is_empty() {
            return Some(pause_ms);
        }
        let known = lock(&self.daemons);
        let share = known.share(daemons);
        let wait_ms = limits.wait_ms(&entry.id, entry.started_unix_ms, &share, now_ms)?;
        Some(wait_ms.max(pause_ms))
    }

    /// Uses up one request of this daemon's share.
    pub fn take(&self, instance: &Instance) {
        lock(&self.limits).take(&instance.entry.id, instance.entry.started_unix_ms);
    }

    /// Uses up one request of this daemon's share for another daemon. Returns whether there was one.
    pub fn lend(&self, instance: &str, daemons: usize, now_ms: u64) -> bool {
        let mut limits = lock(&self.limits);
        let known = lock(&self.daemons);
        limits.lend(instance, &known.share(daemons), now_ms)
    }

    /// Peer addresses of the other daemons that use the limit of the instance; empty if it has none.
    pub fn users(&self, instance: &str, daemons: usize) -> Vec<SocketAddr> {
        let limits = lock(&self.limits);
        let Some(rate_per_s) = limits.rate_per_s(instance) else { return Vec::new() };
        let known = lock(&self.daemons);
        let users = known.share(daemons).users(instance, rate_per_s);
        let others = users.into_iter().filter(|&user| user != known.own);
        others.filter_map(|user| known.addrs.get(&user).copied()).collect()
    }

    /// Whether a request for the instance may be asked for. A pause concerns this daemon's own requests and borrowed ones
    /// alike.
    pub fn may_borrow(&self, instance: &Instance, now_ms: u64) -> bool {
        self.pause_ms(instance, now_ms) == 0
            && lock(&self.borrow_pauses)
                .get(&instance.entry.id)
                .is_none_or(|&at_ms| at_ms <= now_ms)
    }

    /// Records that no daemon has lent a request for the instance.
    pub fn pause_borrowing(&self, instance: &Instance, now_ms: u64) {
        let id = InstanceId::clone(&instance.entry.id);
        lock(&self.borrow_pauses).insert(id, now_ms + BORROW_PAUSE_MS);
    }
}

impl Daemons {
    fn share(&self, daemons: usize) -> FleetShare<'_> {
        FleetShare { own: self.own, listed: &self.listed, daemons }
    }
}

/// Identifier of the daemon with the peer address `addr`, which is the same at all daemons.
fn daemon_id(addr: SocketAddr) -> u64 {
    stable_hash(&addr)
}

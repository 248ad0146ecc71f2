//! Limits that upstreams name on the requests that they take from all daemons together.

use crate::{fleet_share::FleetShare, upstream_limit_change::UpstreamLimitChange};
use base::HashMap;

/// Requests that a daemon may send at once after a pause, in seconds of its share. The bursts of all daemons together
/// add to what an upstream gets in a few seconds.
const BURST_S: f64 = 0.25;

/// Smallest rate in requests per second. An upstream that names a lower one still gets a request from time to time,
/// because only an answer shows that the limit has ended.
const MIN_RATE_PER_S: f64 = 0.1;

/// Longest time in milliseconds for which a request may be planned ahead.
const MAX_WAIT_MS: u64 = 60_000;

/// Time in milliseconds after the last use of a limit at which it is forgotten. It is long, because the daemons of a
/// large fleet have small shares, and each that forgets a limit sends a request to find out.
const RETENTION_MS: u64 = 600_000;

/// Largest number of processes of one upstream whose limits are remembered, so that an answer of an earlier process does
/// not end the limit of a later one.
const MAX_PROCESSES: usize = 4;

/// Largest number of upstreams whose limits are remembered. Those that were not used for longest are forgotten first.
const MAX_UPSTREAMS: usize = 4_096;

/// Limits of the upstreams that name one, with what this daemon may send to each of them.
///
/// Each daemon keeps to its share in the limit, so that the fleet keeps the limit without a message for each request.
/// A daemon that has used up its share can be lent a request of another daemon's share.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLimits {
    /// Limits of the processes of each upstream, the one that was named last at the end.
    limits: HashMap<Box<str>, Vec<UpstreamLimit>>,
}

/// Limit of one process of an upstream.
#[derive(Clone, Debug)]
struct UpstreamLimit {
    /// Start time of the process in milliseconds since the Unix epoch; a later process has no limit until it names one.
    started_unix_ms: Option<u64>,
    rate_per_s: f64,
    /// Requests that may be sent now; negative while requests are planned ahead.
    level: f64,
    refilled_ms: u64,
    /// When the limit was last named or asked for.
    used_ms: u64,
}

impl UpstreamLimits {
    /// Whether no upstream has a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Records the limit that an answer of `instance` names; `None` if it names none, which ends the limit.
    pub fn record(
        &mut self,
        instance: &str,
        started_unix_ms: Option<u64>,
        rate_per_s: Option<f64>,
        now_ms: u64,
    ) -> Option<UpstreamLimitChange> {
        let Some(rate_per_s) = rate_per_s.map(|rate| rate.max(MIN_RATE_PER_S)) else {
            let known = self.limits.get_mut(instance)?;
            let is_named = |limit: &UpstreamLimit| limit.started_unix_ms == started_unix_ms;
            let old = known.remove(known.iter().position(is_named)?);
            if known.is_empty() {
                self.limits.remove(instance);
            }
            return Some(UpstreamLimitChange::Ended { old_per_s: old.rate_per_s });
        };
        if let Some(limit) = self.limit(instance, started_unix_ms) {
            limit.used_ms = now_ms;
            let old_per_s = std::mem::replace(&mut limit.rate_per_s, rate_per_s);
            let is_changed = old_per_s != rate_per_s;
            return is_changed
                .then_some(UpstreamLimitChange::Changed { old_per_s, new_per_s: rate_per_s });
        }
        self.forget(now_ms);
        let limit = UpstreamLimit {
            started_unix_ms,
            rate_per_s,
            level: 1.0,
            refilled_ms: now_ms,
            used_ms: now_ms,
        };
        let known = self.limits.entry(instance.into()).or_default();
        if known.len() >= MAX_PROCESSES {
            known.remove(0);
        }
        known.push(limit);
        Some(UpstreamLimitChange::Named { new_per_s: rate_per_s })
    }

    /// Forgets the limits that were not used for some time. An upstream that is not listed keeps its limit until then,
    /// because the same process may be listed again.
    pub fn forget(&mut self, now_ms: u64) {
        self.limits.retain(|_, known| {
            known.retain(|limit| now_ms < limit.used_ms + RETENTION_MS);
            !known.is_empty()
        });
        while self.limits.len() >= MAX_UPSTREAMS {
            let used_ms = |known: &Vec<UpstreamLimit>| known.iter().map(|l| l.used_ms).max();
            let oldest = self.limits.iter().min_by_key(|(id, known)| (used_ms(known), *id));
            let Some(oldest) = oldest.map(|(id, _)| id.clone()) else { break };
            self.limits.remove(&oldest);
        }
    }

    /// Whether a request may be sent to `instance` now. An upstream without a limit takes any request.
    pub fn allows(
        &mut self,
        instance: &str,
        started_unix_ms: Option<u64>,
        share: &FleetShare<'_>,
        now_ms: u64,
    ) -> bool {
        self.wait_ms(instance, started_unix_ms, share, now_ms) == Some(0)
    }

    /// Time until a request may be sent to `instance`; `None` if this daemon has no share in its limit.
    pub fn wait_ms(
        &mut self,
        instance: &str,
        started_unix_ms: Option<u64>,
        share: &FleetShare<'_>,
        now_ms: u64,
    ) -> Option<u64> {
        let Some(limit) = self.limit(instance, started_unix_ms) else { return Some(0) };
        limit.used_ms = now_ms.max(limit.used_ms);
        let own_per_s = limit.refill(instance, share, now_ms);
        if limit.level >= 1.0 {
            return Some(0);
        }
        let wait_s = (1.0 - limit.level) / own_per_s;
        let wait_ms = (wait_s * 1_000.0).ceil();
        (wait_ms <= MAX_WAIT_MS as f64).then_some(wait_ms as u64)
    }

    /// Uses up one request of this daemon's share. Call it for each request that is sent to or planned for `instance`.
    pub fn take(&mut self, instance: &str, started_unix_ms: Option<u64>) {
        if let Some(limit) = self.limit(instance, started_unix_ms) {
            limit.level -= 1.0;
        }
    }

    /// Uses up one request of this daemon's share for another daemon. Returns whether there was one.
    pub fn lend(&mut self, instance: &str, share: &FleetShare<'_>, now_ms: u64) -> bool {
        let Some(limit) = self.limits.get_mut(instance).and_then(|known| known.last_mut()) else {
            return false;
        };
        limit.refill(instance, share, now_ms);
        if limit.level < 1.0 {
            return false;
        }
        limit.level -= 1.0;
        true
    }

    /// Limit that a process of `instance` has named last, in requests per second; `None` if it has none.
    pub fn rate_per_s(&self, instance: &str) -> Option<f64> {
        self.limits.get(instance).and_then(|known| known.last()).map(|limit| limit.rate_per_s)
    }

    fn limit(&mut self, instance: &str, started: Option<u64>) -> Option<&mut UpstreamLimit> {
        let known = self.limits.get_mut(instance)?;
        known.iter_mut().find(|limit| limit.started_unix_ms == started)
    }
}

impl UpstreamLimit {
    /// Adds what this daemon's share allows since the last call, and returns the share in requests per second.
    fn refill(&mut self, instance: &str, share: &FleetShare<'_>, now_ms: u64) -> f64 {
        let own_per_s = share.rate_per_s(instance, self.rate_per_s);
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1_000.0;
        self.refilled_ms = now_ms.max(self.refilled_ms);
        let burst = (own_per_s * BURST_S).max(1.0);
        self.level = (self.level + own_per_s * elapsed_s).min(burst);
        own_per_s
    }
}

//! Guard that counts a request at its upstream and records the outcome of the request.

use crate::upstream_state::UpstreamState;
use std::net::SocketAddr;
use upstream::EngineError;

/// Counts one request as in flight at an upstream until the guard is dropped.
///
/// The count is released on drop and not by a `close` method, because a request also ends when its task is cancelled.
#[derive(Debug)]
pub(crate) struct UpstreamGuard {
    addr: SocketAddr,
    state: UpstreamState,
    /// Whether the response is not read at the moment, because the caller does not read.
    is_paused: bool,
}

impl UpstreamGuard {
    /// Counts a request as in flight. `blocks` are the hashes of its prompt blocks; empty for a plain service.
    pub fn new(addr: SocketAddr, state: UpstreamState, blocks: &[u64]) -> Self {
        state.record_sent(blocks);
        Self { addr, state, is_paused: false }
    }

    /// Address at which the upstream takes requests, from the list of VMs.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Records that the request was sent at `now_ms`. If this is the only request in flight at the upstream, the time
    /// without activity is counted from `now_ms`. An upstream that already runs other requests of this entry and has
    /// sent nothing stays unresponsive.
    pub fn record_sent(&self, now_ms: u64) {
        if self.state.in_flight() == 1 {
            self.record_activity(now_ms);
        }
    }

    /// Records that the upstream sent something at `now_ms`.
    pub fn record_activity(&self, now_ms: u64) {
        self.state.record_activity(now_ms);
    }

    /// Records whether the response is not read, because the caller does not read. Meanwhile the request does not show whether
    /// the upstream responds.
    pub fn set_paused(&mut self, is_paused: bool, now_ms: u64) {
        if self.is_paused == is_paused {
            return;
        }
        self.is_paused = is_paused;
        self.state.record_paused(is_paused);
        if !is_paused {
            self.record_activity(now_ms);
        }
    }

    /// Records the request as a success of the upstream for outlier detection.
    pub fn record_success(&self) {
        self.state.record_success();
    }

    /// Records the request as a failure of the upstream, unless the engine refused it with a client error status (400
    /// to 499), which indicates overload or a missing version and not a fault.
    pub fn record_engine_error(&self, error: &EngineError) {
        let is_refusal = matches!(error, EngineError::Refused(400..=499));
        if !is_refusal {
            self.record_failure();
        }
    }

    /// Records the request as a failure of the upstream. Repeated failures eject the upstream, so that its weight in
    /// load balancing is 0 for a while.
    pub fn record_failure(&self) {
        if self.state.record_failure() {
            log::warn!("route: upstream {} is ejected after repeated failures", self.addr);
            metrics::counter!("route_ejections_total").increment(1);
        }
    }
}

impl Drop for UpstreamGuard {
    fn drop(&mut self) {
        if self.is_paused {
            self.state.record_paused(false);
        }
        self.state.record_ended();
    }
}

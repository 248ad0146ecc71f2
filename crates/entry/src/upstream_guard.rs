//! Guard of a request that is in flight at an upstream.

use crate::upstream_state::UpstreamState;
use std::net::SocketAddr;
use upstream::EngineError;

/// Counts one request as in flight at an upstream until it is dropped.
///
/// The count is released on drop and not by a `close` method, because a request also ends when its task is cancelled.
#[derive(Debug)]
pub(crate) struct UpstreamGuard {
    addr: SocketAddr,
    state: UpstreamState,
}

impl UpstreamGuard {
    pub fn new(addr: SocketAddr, state: UpstreamState, blocks: &[u64]) -> Self {
        state.record_sent(blocks);
        Self { addr, state }
    }

    /// Address of the upstream.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Records that the request was sent at `now_ms`. If the upstream was idle, the time without activity is counted
    /// from now on; an upstream that already runs other requests and has sent nothing stays unresponsive.
    pub fn record_sent(&self, now_ms: u64) {
        if self.state.in_flight() == 1 {
            self.record_activity(now_ms);
        }
    }

    /// Records that the upstream sent something at `now_ms`.
    pub fn record_activity(&self, now_ms: u64) {
        self.state.record_activity(now_ms);
    }

    /// Records the request as a success of the upstream.
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

    /// Records the request as a failure of the upstream, which may eject it.
    pub fn record_failure(&self) {
        if self.state.record_failure() {
            log::warn!("route: upstream {} is ejected after repeated failures", self.addr);
            metrics::counter!("route_ejections_total").increment(1);
        }
    }
}

impl Drop for UpstreamGuard {
    fn drop(&mut self) {
        self.state.record_ended();
    }
}

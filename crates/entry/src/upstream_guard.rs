//! Request in flight at an upstream.

use crate::upstream_state::UpstreamState;
use std::net::SocketAddr;
use upstream::EngineError;

/// Counts one request at an upstream for as long as it lives.
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

    /// Notes a request at `now_ms`. The wait for an idle upstream begins with it; one that is busy and silent stays
    /// silent.
    pub fn record_sent(&self, now_ms: u64) {
        if self.state.in_flight() == 1 {
            self.record_activity(now_ms);
        }
    }

    /// Notes that the upstream sent something at `now_ms`.
    pub fn record_activity(&self, now_ms: u64) {
        self.state.record_activity(now_ms);
    }

    /// Counts the request as a success of the upstream.
    pub fn record_success(&self) {
        self.state.record_success();
    }

    /// Counts the request as a failure, unless the engine only refused it: that shows load or a missing version.
    pub fn record_engine_error(&self, error: &EngineError) {
        let is_refusal = matches!(error, EngineError::Refused(400..=499));
        if !is_refusal {
            self.record_failure();
        }
    }

    /// Counts the request as a failure of the upstream.
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

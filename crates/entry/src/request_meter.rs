//! Measurement of the latency and outcome of one request.

use crate::shared::Shared;
use base::ServiceName;
use burn::DurationKind;
use std::sync::Arc;

/// Number of token gaps that are collected before they are recorded, so that not every token needs the lock of the
/// meters.
const GAP_BATCH: usize = 256;

/// Measures one request and adds the results to the measurements of its service.
#[derive(Debug)]
pub(crate) struct RequestMeter {
    shared: Arc<Shared>,
    service: ServiceName,
    /// Latency objective of the service (95th percentile); `None` if the service has none, or if the time to the first
    /// token is not measured.
    target_ms: Option<u64>,
    started_ms: u64,
    first_token_ms: Option<u64>,
    last_token_ms: Option<u64>,
    /// Whether the next gap between tokens is recorded as a resumption.
    is_recovering: bool,
    /// Token gaps that are not recorded yet.
    gaps_ms: Vec<u64>,
}

impl RequestMeter {
    /// Starts measuring a request. If `is_continued`, the request resumes a generation whose caller reconnected, and
    /// the time to the first token is not measured.
    pub fn new(shared: &Arc<Shared>, service: &ServiceName, is_continued: bool) -> Self {
        let config = shared.config();
        let objectives = config.document.service(service).map(|service| service.objectives);
        let target_ms = objectives.and_then(|objectives| objectives.latency_p95_ms);
        Self {
            shared: Arc::clone(shared),
            service: service.clone(),
            target_ms: target_ms.filter(|_| !is_continued).map(u64::from),
            started_ms: shared.clock.now_ms(),
            first_token_ms: None,
            last_token_ms: None,
            is_recovering: is_continued,
            gaps_ms: Vec::new(),
        }
    }

    /// Records that a token is released now.
    pub fn record_token(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        match self.last_token_ms.replace(now_ms) {
            None if self.is_recovering => {}
            None => self.first_token_ms = Some(now_ms - self.started_ms),
            Some(last_ms) if self.is_recovering => {
                self.record(DurationKind::Resume, &[now_ms - last_ms]);
            }
            Some(last_ms) => self.gaps_ms.push(now_ms - last_ms),
        }
        self.is_recovering = false;
        if self.gaps_ms.len() >= GAP_BATCH {
            self.flush();
        }
    }

    /// Records that a recovery attempt is started, so that the next gap between tokens is recorded as a resumption.
    /// Before the first token this has no effect: the wait is part of the time to the first token.
    pub fn record_recovery(&mut self) {
        self.is_recovering |= self.last_token_ms.is_some();
    }

    /// Records the end of a request. `is_failed` is `None` if the caller disconnected or another entry claimed the
    /// generation; such a request is not counted.
    pub fn finish(&mut self, is_failed: Option<bool>) {
        self.flush();
        if let Some(is_failed) = is_failed {
            self.shared.meters.update(&self.service, |meter, unix_s| {
                meter.record_request(unix_s, self.first_token_ms, is_failed, self.target_ms);
            });
        }
    }

    /// Records the end of a call to a plain service, whose answer arrives as a whole. The duration of the call counts
    /// as the time to the first token, unless the call failed.
    pub fn record_answer(&mut self, is_failed: bool) {
        if !is_failed {
            self.record_token();
        }
        self.finish(Some(is_failed));
    }

    fn flush(&mut self) {
        let gaps_ms = std::mem::take(&mut self.gaps_ms);
        if !gaps_ms.is_empty() {
            self.record(DurationKind::Gap, &gaps_ms);
        }
    }

    fn record(&self, measure: DurationKind, durations_ms: &[u64]) {
        self.shared.meters.update(&self.service, |meter, unix_s| {
            meter.record_durations(unix_s, measure, durations_ms);
        });
    }
}

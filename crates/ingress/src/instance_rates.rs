//! Rates of one process of an instance, learned from this daemon's own requests.

use crate::service_rates::ServiceRates;
use base::lock;
use route::{LearnedValue, Learning};
use std::sync::{Arc, Mutex, MutexGuard};

/// How long after a refusal an instance is chosen for calls only if there is no other. An instance refuses once its queue
/// is full, and a part of the queue is served in this time.
const REFUSAL_PAUSE_MS: u64 = 300;

/// Learned rates of one process. They outlast changes of its registry entry.
#[derive(Debug)]
pub struct InstanceRates {
    service: Arc<ServiceRates>,
    learned: Mutex<Learned>,
}

#[derive(Debug, Default)]
struct Learned {
    response_ms: LearnedValue,
    /// End of the pause after the last refusal; 0 if there was none.
    refused_until_ms: u64,
}

impl InstanceRates {
    /// Creates the rates of a process that has not been used yet, which are the usual ones of `service`.
    pub(crate) fn new(service: Arc<ServiceRates>) -> Self {
        Self { service, learned: Mutex::default() }
    }

    /// Usual rates of the service.
    pub(crate) fn service(&self) -> &ServiceRates {
        &self.service
    }

    /// Expected time to the answer of a call; `None` if the service has answered none.
    pub fn response_ms(&self, now_ms: u64) -> Option<f64> {
        let usual = self.service.response_ms(now_ms);
        self.learned().response_ms.get(usual, &Learning::RESPONSE_MS, now_ms)
    }

    /// Records that a call was answered, or given up, after `response_ms`.
    pub fn observe_response(&self, response_ms: u64, now_ms: u64) {
        let usual = self.service.response_ms(now_ms);
        let response_ms = response_ms as f64;
        self.service.observe_response(response_ms, now_ms);
        let learning = &Learning::RESPONSE_MS;
        self.learned().response_ms.observe(response_ms, usual, learning, now_ms);
    }

    /// Records that the instance refused a call.
    pub fn record_refusal(&self, now_ms: u64) {
        self.learned().refused_until_ms = now_ms + REFUSAL_PAUSE_MS;
    }

    /// Whether the instance refused a call a moment ago.
    pub fn has_refused_recently(&self, now_ms: u64) -> bool {
        now_ms < self.learned().refused_until_ms
    }

    fn learned(&self) -> MutexGuard<'_, Learned> {
        lock(&self.learned)
    }
}

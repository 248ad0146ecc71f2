//! Usual rates of a service, which count for its instances that this daemon has not used recently.

use base::{ServiceName, lock};
use route::{LearnedValue, Learning};
use std::sync::Mutex;

/// Time over which calls that leave the daemon's own failure domain are counted for one log line.
const LOG_INTERVAL_MS: u64 = 10_000;

/// Part of the calls of an interval, as a divisor, that have to leave the own failure domain for a log line.
const MIN_LOGGED_DIVISOR: u32 = 10;

/// Usual rates of one service, learned from this daemon's own requests to all its instances.
#[derive(Debug)]
pub(crate) struct ServiceRates {
    service: ServiceName,
    usual: Mutex<Usual>,
}

#[derive(Debug, Default)]
struct Usual {
    response_ms: LearnedValue,
    /// Start of the interval of the next log line.
    interval_ms: u64,
    /// Calls in the interval, and those of them that left the own failure domain although it has instances.
    calls: u32,
    leaving: u32,
}

impl ServiceRates {
    /// Creates the rates of a service that has not been used yet.
    pub fn new(service: ServiceName) -> Self {
        Self { service, usual: Mutex::default() }
    }

    /// Usual response time of calls; `None` before the first answer.
    pub fn response_ms(&self, now_ms: u64) -> Option<f64> {
        lock(&self.usual).response_ms.get(None, &Learning::USUAL_RESPONSE_MS, now_ms)
    }

    /// Adds the response time of a call.
    pub fn observe_response(&self, response_ms: f64, now_ms: u64) {
        let mut usual = lock(&self.usual);
        usual.response_ms.observe(response_ms, None, &Learning::USUAL_RESPONSE_MS, now_ms);
    }

    /// Counts the choice of an instance for a call if the own failure domain has one that could be chosen. Logs at most
    /// one line in an interval, if a large part of its calls left the domain.
    pub fn count_call(&self, is_local: bool, now_ms: u64) {
        let domain = if is_local { "own" } else { "other" };
        metrics::counter!("calls_placed_total", "domain" => domain).increment(1);
        let mut usual = lock(&self.usual);
        usual.calls = usual.calls.saturating_add(1);
        usual.leaving = usual.leaving.saturating_add(u32::from(!is_local));
        if now_ms < usual.interval_ms + LOG_INTERVAL_MS {
            return;
        }
        let (calls, leaving) = (usual.calls, usual.leaving);
        (usual.calls, usual.leaving, usual.interval_ms) = (0, 0, now_ms);
        let usual_ms = usual.response_ms.get(None, &Learning::USUAL_RESPONSE_MS, now_ms);
        drop(usual);
        if leaving > calls / MIN_LOGGED_DIVISOR {
            log::info!(
                "balance: service={} sent {leaving} of {calls} calls to other domains, own instances were slower; \
                 usual_ms={:.0}",
                self.service,
                usual_ms.unwrap_or(0.0)
            );
        }
    }
}

//! Usual rates of a service, which count for its instances that this daemon has not used recently.

use crate::{instance_rates::InstanceRates, shared_rates::SharedRates};
use base::{ServiceName, lock};
use route::{EngineRates, LearnedValue, Learning, UsualEngineRates};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, Weak},
};

/// Time over which calls that leave the daemon's own failure domain are counted for one log line.
const LOG_INTERVAL_MS: u64 = 10_000;

/// Number of engines whose rates are told to other daemons, those that were learned last. As many fit into a datagram
/// with identifiers of usual length.
const MAX_SHARED: usize = 36;

/// Ratio of speeds from which engines count as uneven. A full batch and an empty one of equal engines differ by up to 1.7.
const MIN_SPREAD: f64 = 2.0;

/// Shortest time between two log lines on the speeds of engines.
const SPEED_LOG_INTERVAL_MS: u64 = 30_000;

/// Part of the calls of an interval, as a divisor, that have to leave the own failure domain for a log line.
const MIN_LOGGED_DIVISOR: u32 = 10;

/// Usual rates of one service, learned from this daemon's own requests to all its instances.
#[derive(Debug)]
pub(crate) struct ServiceRates {
    service: ServiceName,
    usual: Mutex<Usual>,
    /// Engines whose rates were learned last, the latest one last.
    recent: Mutex<VecDeque<Weak<InstanceRates>>>,
}

#[derive(Debug, Default)]
struct Usual {
    response_ms: LearnedValue,
    /// Number of response times so far.
    responses: u32,
    engine: UsualEngineRates,
    /// Time until which no line on the speeds of engines is logged.
    speed_log_after_ms: u64,
    /// Start of the interval of the next log line.
    interval_ms: u64,
    /// Calls in the interval, and those of them that left the own failure domain although it has instances.
    calls: u32,
    leaving: u32,
}

impl ServiceRates {
    /// Creates the rates of a service that has not been used yet.
    pub fn new(service: ServiceName) -> Self {
        Self { service, usual: Mutex::default(), recent: Mutex::default() }
    }

    /// Name of the service.
    pub fn name(&self) -> &ServiceName {
        &self.service
    }

    /// Usual response time of calls; `None` before the first answer.
    pub fn response_ms(&self, now_ms: u64) -> Option<f64> {
        lock(&self.usual).response_ms.get(None, &Learning::USUAL_RESPONSE_MS, now_ms)
    }

    /// Adds the response time of a call.
    pub fn observe_response(&self, response_ms: f64, now_ms: u64) {
        let mut usual = lock(&self.usual);
        let learning = Learning::USUAL_RESPONSE_MS.after(usual.responses);
        usual.response_ms.observe(response_ms, None, &learning, now_ms);
        usual.responses = usual.responses.saturating_add(1);
    }

    /// Usual rates of the engines of the service.
    pub fn engine(&self) -> UsualEngineRates {
        lock(&self.usual).engine
    }

    /// Adds the length of a prompt and the time per token that an engine took for it.
    pub fn observe_prefill(&self, prompt_tokens: u64, ms_per_token: Option<f64>, now_ms: u64) {
        let engine = &mut lock(&self.usual).engine;
        engine.observe_prompt(prompt_tokens, now_ms);
        if let Some(ms_per_token) = ms_per_token {
            engine.observe_prefill(ms_per_token, now_ms);
        }
    }

    /// Adds a time per event of an engine.
    pub fn observe_events(&self, event_ms: f64, now_ms: u64) {
        lock(&self.usual).engine.observe_events(event_ms, now_ms);
    }

    /// Adds the rates of an engine that another daemon has learned.
    pub fn merge_usual(&self, rates: &EngineRates, now_ms: u64) {
        let engine = &mut lock(&self.usual).engine;
        if let Some((ms_per_token, _)) = rates.learned_prefill() {
            engine.observe_prefill(ms_per_token, now_ms);
        }
        if let Some((event_ms, _)) = rates.learned_event() {
            engine.observe_events(event_ms, now_ms);
        }
    }

    /// Records that the rates of an engine have changed, so that other daemons are told.
    pub fn note_learned(&self, rates: &Arc<InstanceRates>) {
        let mut recent = lock(&self.recent);
        recent.retain(|known| known.upgrade().is_some_and(|known| known.id() != rates.id()));
        recent.push_back(Arc::downgrade(rates));
        if recent.len() > MAX_SHARED {
            recent.pop_front();
        }
    }

    /// Rates for other daemons, the latest ones first; empty if the engines do not differ. Logs now and then how much
    /// they differ.
    pub fn shared(&self, now_ms: u64) -> Vec<SharedRates> {
        let recent: Vec<_> = lock(&self.recent).iter().rev().filter_map(Weak::upgrade).collect();
        let speeds = recent.iter().map(|rates| rates.relative_speed(now_ms));
        let (slowest, fastest) =
            speeds.fold((1.0_f64, 1.0_f64), |(low, high), speed| (low.min(speed), high.max(speed)));
        if slowest == fastest {
            return Vec::new();
        }
        self.log_speeds(recent.len(), slowest, fastest, now_ms);
        recent.iter().filter_map(|rates| rates.shared(now_ms)).collect()
    }

    /// Whether the engines differ so much that their load alone does not explain it: of those that were learned last, the
    /// fastest fifth is at least `MIN_SPREAD` times as fast as the slowest fifth.
    pub fn has_uneven_engines(&self, now_ms: u64) -> bool {
        let recent: Vec<_> = lock(&self.recent).iter().filter_map(Weak::upgrade).collect();
        let mut speeds: Vec<f64> =
            recent.iter().map(|rates| rates.relative_speed(now_ms)).collect();
        speeds.sort_unstable_by(f64::total_cmp);
        let fifth = speeds.len() / 5;
        match (speeds.get(fifth), speeds.iter().nth_back(fifth)) {
            (Some(slow), Some(fast)) => *fast >= *slow * MIN_SPREAD,
            _ => false,
        }
    }

    fn log_speeds(&self, known: usize, slowest: f64, fastest: f64, now_ms: u64) {
        let mut usual = lock(&self.usual);
        if now_ms < usual.speed_log_after_ms {
            return;
        }
        usual.speed_log_after_ms = now_ms + SPEED_LOG_INTERVAL_MS;
        let engine = usual.engine;
        drop(usual);
        log::info!(
            "balance: service={} engines differ, learned={known} slowest={slowest:.2} fastest={fastest:.2} \
             usual_prefill_us_per_token={:.0} usual_event_ms={:.1}",
            self.service,
            engine.prefill_ms_per_token(now_ms) * 1_000.0,
            engine.event_ms(now_ms).unwrap_or(0.0)
        );
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

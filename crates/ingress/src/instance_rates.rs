//! Rates of one process of an instance, learned from this daemon's own requests and, for engines, from other daemons.

use crate::{
    instance_entry::{InstanceEntry, InstanceId},
    service_rates::ServiceRates,
    shared_rates::SharedRates,
};
use base::lock;
use route::{EngineRates, LearnedValue, Learning};
use std::sync::{Arc, Mutex, MutexGuard};

/// How long after a refusal an instance is chosen for calls only if there is no other. An instance refuses once its queue
/// is full, and a part of the queue is served in this time.
const REFUSAL_PAUSE_MS: u64 = 300;

/// Age up to which the pending prompts of a load report count for a request. The report is asked for just before.
const REPORT_AGE_MS: u64 = 500;

/// Learned rates of one process. They outlast changes of its registry entry.
#[derive(Debug)]
pub struct InstanceRates {
    id: InstanceId,
    started_unix_ms: Option<u64>,
    service: Arc<ServiceRates>,
    learned: Mutex<Learned>,
}

#[derive(Debug, Default)]
struct Learned {
    response_ms: LearnedValue,
    engine: EngineRates,
    /// Pending prompts in the last load report, and its time.
    reported_pending: (u32, u64),
    /// End of the pause after the last refusal; 0 if there was none.
    refused_until_ms: u64,
}

impl InstanceRates {
    /// Creates the rates of a process that has not been used yet, which are the usual ones of `service`.
    pub(crate) fn new(entry: &InstanceEntry, service: Arc<ServiceRates>) -> Self {
        Self {
            id: Arc::clone(&entry.id),
            started_unix_ms: entry.started_unix_ms,
            service,
            learned: Mutex::default(),
        }
    }

    /// Identifier of the instance.
    pub(crate) fn id(&self) -> &InstanceId {
        &self.id
    }

    /// Whether these are the rates of the process of a registry entry. A process without a start time cannot be told
    /// from the next one.
    pub(crate) fn are_of(&self, entry: &InstanceEntry) -> bool {
        let is_same_run =
            entry.started_unix_ms.is_some() && entry.started_unix_ms == self.started_unix_ms;
        is_same_run && entry.id == self.id && entry.service == *self.service.name()
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

    /// Whether a call of this daemon was answered, or given up.
    pub fn has_answered(&self) -> bool {
        self.learned().response_ms.last().is_some()
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

    /// Records the pending prompts that an engine has reported.
    pub(crate) fn record_report(&self, pending: u32, now_ms: u64) {
        self.learned().reported_pending = (pending, now_ms);
    }

    /// Pending prompts in the last load report; 0 if it is too old.
    pub(crate) fn reported_pending(&self, now_ms: u64) -> u32 {
        let (pending, at_ms) = self.learned().reported_pending;
        if now_ms <= at_ms + REPORT_AGE_MS { pending } else { 0 }
    }

    /// Records the time to the first event of a request that had to wait for `pending` other prompts.
    pub fn observe_first_event(
        self: &Arc<Self>,
        wait_ms: u64,
        pending: u32,
        prompt_tokens: u64,
        now_ms: u64,
    ) {
        let usual = self.service.engine();
        let mut learned = self.learned();
        let ms_per_token =
            learned.engine.observe_first_event(wait_ms, pending, prompt_tokens, &usual, now_ms);
        drop(learned);
        self.service.observe_prefill(prompt_tokens, ms_per_token, now_ms);
        self.service.note_learned(self);
    }

    /// Records the mean time per event of a run after its first event.
    pub fn observe_events(self: &Arc<Self>, event_ms: f64, now_ms: u64) {
        let usual = self.service.engine();
        self.learned().engine.observe_events(event_ms, &usual, now_ms);
        self.service.observe_events(event_ms, now_ms);
        self.service.note_learned(self);
    }

    /// Expected time to the first event of a request with `prompt_tokens` that waits for `pending` other prompts;
    /// that of a usual prompt if `prompt_tokens` is 0, because they are not known.
    pub fn first_event_ms(&self, pending: u32, prompt_tokens: u64, now_ms: u64) -> f64 {
        let usual = self.service.engine();
        let prompt_tokens = match prompt_tokens {
            0 => usual.prompt_tokens(now_ms) as u64,
            _ => prompt_tokens,
        };
        self.learned().engine.first_event_ms(pending, prompt_tokens, &usual, now_ms)
    }

    /// Time per prompt token in parts of the usual one of the service.
    pub fn relative_prefill_time(&self, now_ms: u64) -> f64 {
        self.learned().engine.relative_prefill_time(&self.service.engine(), now_ms)
    }

    /// Time per event in parts of the usual one of the service.
    pub fn relative_event_time(&self, now_ms: u64) -> f64 {
        self.learned().engine.relative_event_time(&self.service.engine(), now_ms)
    }

    /// Speed of the engine in parts of the usual one of the service.
    pub fn relative_speed(&self, now_ms: u64) -> f64 {
        self.learned().engine.relative_speed(&self.service.engine(), now_ms)
    }

    /// Rates of the engine for other daemons; `None` if none was learned.
    pub(crate) fn shared(&self, now_ms: u64) -> Option<SharedRates> {
        SharedRates::new(&self.id, self.started_unix_ms, &self.learned().engine, now_ms)
    }

    /// Takes over the rates that another daemon has learned later. Returns whether there were any.
    pub(crate) fn merge(self: &Arc<Self>, shared: &SharedRates, now_ms: u64) -> bool {
        if shared.started_unix_ms != self.started_unix_ms {
            return false;
        }
        let rates = shared.rates(now_ms);
        if !self.learned().engine.merge(&rates) {
            return false;
        }
        self.service.merge_usual(&rates, now_ms);
        self.service.note_learned(self);
        true
    }

    fn learned(&self) -> MutexGuard<'_, Learned> {
        lock(&self.learned)
    }
}

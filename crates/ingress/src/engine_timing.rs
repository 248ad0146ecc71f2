//! Timing of one run at an engine, from which the engine's rates are learned.

use crate::instance_rates::InstanceRates;
use std::sync::Arc;

/// Number of events over which one time per event is averaged. Pauses for the prompts of other requests and events that
/// arrive together change a shorter average too much.
const EVENTS_PER_SAMPLE: u32 = 40;

/// Timing of one run at an engine.
#[derive(Debug)]
pub(crate) struct EngineTiming {
    rates: Arc<InstanceRates>,
    sent_ms: u64,
    /// Pending prompts at the engine when the request was sent.
    pending: u32,
    /// Number of tokens that the engine reads before the first event; `None` if that is not known, as for a request
    /// that resumes.
    prompt_tokens: Option<u64>,
    has_event: bool,
    /// Events since `sample_ms`, when the last sample ended.
    events: u32,
    sample_ms: u64,
}

impl EngineTiming {
    /// Starts the timing of a request that is sent at `sent_ms`.
    pub fn new(rates: Arc<InstanceRates>, prompt_tokens: Option<u64>, sent_ms: u64) -> Self {
        let pending = rates.reported_pending(sent_ms);
        Self {
            rates,
            sent_ms,
            pending,
            prompt_tokens,
            has_event: false,
            events: 0,
            sample_ms: sent_ms,
        }
    }

    /// Forgets the events since the last sample, because the daemon did not read them as they arrived. A first event that
    /// was not read as it arrived is no sample either.
    pub fn skip_events(&mut self, now_ms: u64) {
        self.prompt_tokens = None;
        self.events = 0;
        self.sample_ms = now_ms;
    }

    /// Records an event of the run.
    pub fn on_event(&mut self, now_ms: u64) {
        if !self.has_event {
            self.has_event = true;
            self.sample_ms = now_ms;
            if let Some(prompt_tokens) = self.prompt_tokens {
                let wait_ms = now_ms.saturating_sub(self.sent_ms);
                self.rates.observe_first_event(wait_ms, self.pending, prompt_tokens, now_ms);
            }
            return;
        }
        self.events += 1;
        if self.events == EVENTS_PER_SAMPLE {
            let took_ms = now_ms.saturating_sub(self.sample_ms);
            self.rates.observe_events(took_ms as f64 / f64::from(self.events), now_ms);
            self.events = 0;
            self.sample_ms = now_ms;
        }
    }
}

//! Learned rates of one engine.

use crate::{
    learned_value::LearnedValue, learning::Learning, usual_engine_rates::UsualEngineRates,
};

/// Part by which a learned rate may differ from the usual one and still count as equal. Requests that were not known of
/// change single samples by about as much, and equal engines are to be told apart by their load alone.
const EQUAL_BAND: f64 = 0.25;

/// Smallest number of prompt tokens from which a rate is learned. The time to the first event of a shorter prompt is not
/// that of its tokens.
const MIN_PROMPT_TOKENS: u64 = 256;

/// Largest factor by which a sample counts as different from the usual rate. Callers state the numbers of tokens, and
/// wrong ones must not make an engine look unusable.
const MAX_FACTOR: f64 = 4.0;

/// Part of the first pending prompt that is read on average when another request joins it.
const FIRST_PROMPT_READ: f64 = 0.5;

/// Learned rates of one engine. Without samples, the usual ones of its service count.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineRates {
    prefill_ms_per_token: LearnedValue,
    event_ms: LearnedValue,
}

impl EngineRates {
    /// Adds the time to the first event of a request that had to wait for `pending` other prompts. Returns the time per
    /// prompt token; `None` if the prompt is too short to learn from.
    pub fn observe_first_event(
        &mut self,
        wait_ms: u64,
        pending: u32,
        prompt_tokens: u64,
        usual: &UsualEngineRates,
        now_ms: u64,
    ) -> Option<f64> {
        if prompt_tokens < MIN_PROMPT_TOKENS {
            return None;
        }
        let mut ms_per_token =
            wait_ms as f64 / tokens_to_read(pending, prompt_tokens, usual, now_ms);
        let usual_ms = usual.learned_prefill_ms_per_token(now_ms);
        if let Some(usual_ms) = usual_ms {
            ms_per_token = ms_per_token.clamp(usual_ms / MAX_FACTOR, usual_ms * MAX_FACTOR);
        }
        self.prefill_ms_per_token.observe(ms_per_token, usual_ms, &Learning::ENGINE_MS, now_ms);
        Some(ms_per_token)
    }

    /// Adds the mean time per event of a run after its first event.
    pub fn observe_events(&mut self, event_ms: f64, usual: &UsualEngineRates, now_ms: u64) {
        self.event_ms.observe(event_ms, usual.event_ms(now_ms), &Learning::ENGINE_MS, now_ms);
    }

    /// Replaces the rates that are older than those that another process has learned. Returns whether any was.
    pub fn merge(&mut self, other: &Self) -> bool {
        let is_prefill_newer = self.prefill_ms_per_token.merge(&other.prefill_ms_per_token);
        self.event_ms.merge(&other.event_ms) || is_prefill_newer
    }

    /// Combines rates that another process has learned. Values outside the bounds of samples are limited to them.
    pub fn from_learned(
        prefill_ms_per_token: Option<(f64, u64)>,
        event_ms: Option<(f64, u64)>,
    ) -> Self {
        let value = |learned| LearnedValue::from_learned(learned, &Learning::ENGINE_MS);
        Self { prefill_ms_per_token: value(prefill_ms_per_token), event_ms: value(event_ms) }
    }

    /// Time per prompt token after the last sample, and the time of that sample; `None` before the first one.
    pub fn learned_prefill(&self) -> Option<(f64, u64)> {
        self.prefill_ms_per_token.last()
    }

    /// Time per event after the last sample, and the time of that sample; `None` before the first one.
    pub fn learned_event(&self) -> Option<(f64, u64)> {
        self.event_ms.last()
    }

    /// Expected time to the first event of a request with `prompt_tokens` that waits for `pending` other prompts.
    pub fn first_event_ms(
        &self,
        pending: u32,
        prompt_tokens: u64,
        usual: &UsualEngineRates,
        now_ms: u64,
    ) -> f64 {
        tokens_to_read(pending, prompt_tokens, usual, now_ms)
            * usual.prefill_ms_per_token(now_ms)
            * self.relative_prefill_time(usual, now_ms)
    }

    /// Time per prompt token in parts of the usual one; 1 if it is about the usual one or not known.
    pub fn relative_prefill_time(&self, usual: &UsualEngineRates, now_ms: u64) -> f64 {
        let usual_ms = Some(usual.prefill_ms_per_token(now_ms));
        ratio(self.prefill_ms_per_token.get(usual_ms, &Learning::ENGINE_MS, now_ms), usual_ms)
    }

    /// Time per event in parts of the usual one; 1 if it is about the usual one or not known.
    pub fn relative_event_time(&self, usual: &UsualEngineRates, now_ms: u64) -> f64 {
        let usual_ms = usual.event_ms(now_ms);
        ratio(self.event_ms.get(usual_ms, &Learning::ENGINE_MS, now_ms), usual_ms)
    }

    /// Speed in parts of the usual one, in which prefill and events count alike.
    pub fn relative_speed(&self, usual: &UsualEngineRates, now_ms: u64) -> f64 {
        let prefill_time = self.relative_prefill_time(usual, now_ms);
        2.0 / (prefill_time + self.relative_event_time(usual, now_ms))
    }
}

/// Number of prompt tokens that are read before the first event of a request that waits for `pending` other prompts.
fn tokens_to_read(pending: u32, prompt_tokens: u64, usual: &UsualEngineRates, now_ms: u64) -> f64 {
    let pending = (f64::from(pending) - FIRST_PROMPT_READ).max(0.0);
    pending * usual.prompt_tokens(now_ms) + prompt_tokens as f64
}

/// Quotient of two rates; 1 if one is not known or if they are about equal.
fn ratio(learned: Option<f64>, usual: Option<f64>) -> f64 {
    let (Some(learned), Some(usual)) = (learned, usual) else { return 1.0 };
    let ratio = learned / usual;
    if (1.0 - EQUAL_BAND..=1.0 + EQUAL_BAND).contains(&ratio) { 1.0 } else { ratio }
}

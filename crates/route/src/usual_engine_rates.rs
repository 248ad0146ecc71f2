//! Usual rates of the engines of a service.

use crate::{learned_value::LearnedValue, learning::Learning};

/// Time per prompt token before the first sample, in milliseconds.
const INITIAL_PREFILL_MS_PER_TOKEN: f64 = 0.2;

/// Prompt length before the first sample.
const INITIAL_PROMPT_TOKENS: f64 = 5_000.0;

/// Usual rates of the engines of a service, and the usual length of its prompts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsualEngineRates {
    prefill_ms_per_token: LearnedValue,
    event_ms: LearnedValue,
    prompt_tokens: LearnedValue,
}

impl UsualEngineRates {
    /// Adds the length of a prompt.
    pub fn observe_prompt(&mut self, tokens: u64, now_ms: u64) {
        self.prompt_tokens.observe(tokens as f64, None, &Learning::USUAL_ENGINE, now_ms);
    }

    /// Adds a time per prompt token of some engine.
    pub fn observe_prefill(&mut self, ms_per_token: f64, now_ms: u64) {
        self.prefill_ms_per_token.observe(ms_per_token, None, &Learning::USUAL_ENGINE, now_ms);
    }

    /// Adds a time per event of some engine.
    pub fn observe_events(&mut self, event_ms: f64, now_ms: u64) {
        self.event_ms.observe(event_ms, None, &Learning::USUAL_ENGINE, now_ms);
    }

    /// Usual time per prompt token; a rough one before the first sample.
    pub fn prefill_ms_per_token(&self, now_ms: u64) -> f64 {
        self.learned_prefill_ms_per_token(now_ms).unwrap_or(INITIAL_PREFILL_MS_PER_TOKEN)
    }

    /// Usual time per prompt token; `None` before the first sample.
    pub fn learned_prefill_ms_per_token(&self, now_ms: u64) -> Option<f64> {
        self.prefill_ms_per_token.get(None, &Learning::USUAL_ENGINE, now_ms)
    }

    /// Usual time per event after the first one; `None` before the first sample.
    pub fn event_ms(&self, now_ms: u64) -> Option<f64> {
        self.event_ms.get(None, &Learning::USUAL_ENGINE, now_ms)
    }

    /// Usual number of prompt tokens; a rough one before the first sample.
    pub fn prompt_tokens(&self, now_ms: u64) -> f64 {
        let learned = self.prompt_tokens.get(None, &Learning::USUAL_ENGINE, now_ms);
        learned.unwrap_or(INITIAL_PROMPT_TOKENS)
    }
}

//! What a daemon believes to be cached at engines.

use crate::{
    assignment::Assignment,
    basis::Basis,
    engine_key::EngineKey,
    expectation::{Expectation, ExpectedPart},
    hit_rates::HitRates,
    part_log::PartLog,
    prompt::Prompt,
};

/// Number of leading parts of a prompt that are considered. Prompts of more parts get no credit for the rest.
const MAX_PARTS: usize = 64;

/// Smallest part from which the daemon learns. The time of a smaller one is lost in the jitter of the network.
const MIN_LEARNED_TOKENS: u64 = 256;

/// Smallest number of further tokens that may be cached at an engine, for which it takes the place of another in the
/// probes: at five tokens per millisecond, they are read in 100 ms.
const MIN_GAIN_TOKENS: f64 = 512.0;

/// Share of a part by which the number of tokens read may be off, so that the part still counts as cached or as read.
const TOLERANCE: f64 = 0.3;

/// Beliefs of one daemon about the prompt parts that the engines of one service have cached.
#[derive(Clone, Debug, Default)]
pub struct PrefixModel {
    log: PartLog,
    rates: HitRates,
}

impl PrefixModel {
    /// What to expect of the engine with the index `index` in `assignment`, whose key is `engine`, for a prompt.
    pub fn expect(
        &self,
        prompt: &Prompt,
        assignment: &Assignment,
        index: usize,
        engine: EngineKey,
        now_ms: u64,
    ) -> Expectation {
        let assigned_parts = assignment.parts_at(index);
        let mut probability: f64 = 1.0;
        let parts = prompt.sequences().take(MAX_PARTS).enumerate();
        let parts = parts.map(|(number, (sequence, tokens))| {
            let age_ms = self.log.age_ms(sequence, engine, now_ms);
            let is_last = number + 1 == prompt.len();
            let basis = Basis::new(age_ms, number < assigned_parts, is_last);
            let popularity = self.log.popularity(sequence, now_ms);
            // Engines evict the least recently used parts, and a part is used whenever a later one is.
            probability = probability.min(self.rates.probability(basis, popularity, now_ms));
            ExpectedPart { tokens, basis, popularity, probability }
        });
        Expectation { parts: parts.collect(), prompt_tokens: prompt.tokens() }
    }

    /// Indices of those assigned engines that are worth a probe: more tokens of the prompt may be cached there than at any
    /// other engine, or it is not known yet. Each of them takes the place of an engine that is drawn by its load.
    pub fn candidates(
        &self,
        prompt: &Prompt,
        assignment: &Assignment,
        engines: &[EngineKey],
        now_ms: u64,
    ) -> Vec<usize> {
        let none = Assignment::default();
        let possible_tokens = |index: usize, assignment: &Assignment, is_elsewhere: bool| {
            let Some(&engine) = engines.get(index) else { return 0.0 };
            let mut possibility: f64 = 1.0;
            let expected = self.expect(prompt, assignment, index, engine, now_ms);
            let tokens = expected.parts.iter().map(|part| {
                let basis = if is_elsewhere { Basis::Elsewhere } else { part.basis };
                let share = match is_elsewhere {
                    true => self.rates.probability(basis, part.popularity, now_ms),
                    false => self.rates.possibility(basis, part.popularity, now_ms),
                };
                possibility = possibility.min(share);
                part.tokens as f64 * possibility
            });
            tokens.sum::<f64>()
        };
        let is_worth = |&index: &usize| {
            let here = possible_tokens(index, assignment, false);
            here - possible_tokens(index, &none, true) >= MIN_GAIN_TOKENS
        };
        assignment.engines().filter(is_worth).collect()
    }

    /// Number of sequences of parts that are remembered, which is bounded.
    pub fn remembered(&self) -> usize {
        self.log.len()
    }

    /// Records that a prompt was sent to an engine.
    pub fn record_sent(&mut self, prompt: &Prompt, engine: EngineKey, now_ms: u64) {
        for (sequence, _) in prompt.sequences().take(MAX_PARTS) {
            self.log.record(sequence, engine, now_ms);
        }
    }

    /// Learns from the number of tokens of the prompt that the engine has read before the first event.
    ///
    /// After the first part that was read again, later ones tell nothing: they are read whether they are cached or not.
    pub fn record_first_event(&mut self, expected: &Expectation, tokens_read: f64, now_ms: u64) {
        let cached = expected.prompt_tokens as f64 - tokens_read;
        let mut start = 0.0;
        for part in &expected.parts {
            let tokens = part.tokens as f64;
            let found = cached - start;
            start += tokens;
            if part.tokens < MIN_LEARNED_TOKENS {
                continue;
            }
            if found >= tokens * (1.0 - TOLERANCE) {
                self.rates.record(part.basis, part.popularity, true, now_ms);
            } else {
                if found <= tokens * TOLERANCE {
                    self.rates.record(part.basis, part.popularity, false, now_ms);
                }
                return;
            }
        }
    }
}

//! What is known of an engine's speed and of the prompts that wait there.

/// Speed and queue of an engine, as learned from own requests and read from its report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLoad {
    /// Prompts that the engine reads before the next one.
    pub pending_prompts: u32,
    /// Usual number of tokens that are read of a prompt that waits there.
    pub usual_prompt_tokens: f64,
    /// Time in which the engine reads a token of a prompt.
    pub ms_per_token: f64,
}

impl EngineLoad {
    /// Expected time to the first event of a prompt of which `read_tokens` have to be read.
    pub fn first_event_ms(&self, read_tokens: f64) -> f64 {
        (f64::from(self.pending_prompts) * self.usual_prompt_tokens + read_tokens)
            * self.ms_per_token
    }

    /// Number of tokens of the request's own prompt that were read until its first event after `first_event_ms`; `None`
    /// if other prompts were read before it, whose sizes are not known.
    pub fn tokens_read(&self, first_event_ms: f64) -> Option<f64> {
        let is_known = self.pending_prompts == 0 && self.ms_per_token > 0.0;
        is_known.then(|| (first_event_ms / self.ms_per_token).max(0.0))
    }
}

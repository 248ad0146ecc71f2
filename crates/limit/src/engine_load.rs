//! Load of a model engine, as a stream that looks for an engine finds it.

/// Number of urgency levels that engines distinguish.
pub const URGENCY_LEVELS: usize = 10;

/// Load of a model engine by its own report.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct EngineLoad {
    /// Requests in the batch, including those in prefill.
    pub running: u32,
    /// Requests that wait at the engine and occupy no memory yet.
    pub queued: u32,
    /// Requests in the batch whose prefill is not finished.
    pub prefilling: u32,
    /// Tokens in the KV cache that cannot be evicted.
    pub used_tokens: u64,
    /// Capacity of the KV cache in tokens.
    pub capacity_tokens: u64,
    /// Tokens of the running requests by their urgency level, as far as the report states it.
    pub tokens_by_urgency: [u64; URGENCY_LEVELS],
}

impl EngineLoad {
    /// Number of prompts that are read before that of a new request, or share the engine with it.
    pub fn pending_prefills(&self) -> u32 {
        self.queued.saturating_add(self.prefilling)
    }

    /// Whether the memory can hold another request of `tokens` and `reserve_tokens` beside it, once the requests that
    /// wait at the engine have been admitted. These are assumed to be of the same size, because the report tells only
    /// their number. A request that leaves less than the reserve in an empty engine needs an empty one.
    pub fn has_memory(&self, tokens: u64, reserve_tokens: u64) -> bool {
        let waiting_tokens = tokens.saturating_mul(u64::from(self.queued));
        let reserve_tokens = reserve_tokens.min(self.capacity_tokens.saturating_sub(tokens));
        let needed_tokens = [waiting_tokens, tokens, reserve_tokens];
        let needed_tokens = needed_tokens.into_iter().fold(self.used_tokens, u64::saturating_add);
        needed_tokens <= self.capacity_tokens
    }

    /// Whether the memory can hold a request of `tokens` with the urgency `level` if only less urgent ones give way.
    pub fn can_preempt(&self, tokens: u64, level: u8) -> bool {
        let less_urgent = self.tokens_by_urgency.iter().skip(usize::from(level) + 1);
        let preemptible_tokens =
            less_urgent.fold(0, |sum: u64, tokens| sum.saturating_add(*tokens));
        let kept_tokens = self.used_tokens.saturating_sub(preemptible_tokens);
        kept_tokens.saturating_add(tokens) <= self.capacity_tokens
    }

    /// The load as a stream finds it that engines admit before all that wait.
    pub fn without_queue(self) -> Self {
        Self { queued: 0, ..self }
    }

    /// Time until the memory can hold another request of `tokens`, if one running request ends after the other and each
    /// takes `stream_ms` in all.
    pub fn memory_wait_ms(&self, tokens: u64, stream_ms: u64) -> u64 {
        let free_tokens = self.capacity_tokens.saturating_sub(self.used_tokens);
        let free_places = free_tokens / tokens.max(1);
        let missing_places = (u64::from(self.queued) + 1).saturating_sub(free_places);
        missing_places.saturating_mul(stream_ms) / u64::from(self.running.max(1))
    }
}

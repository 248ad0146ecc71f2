//! Sums up the work of all engines over the whole load.

use std::ops::AddAssign;
use wire::engine::EngineState;

/// Tokens and prefills of engines, summed over the engine states that are added. The tokens that a killed engine
/// decoded in the few milliseconds between the last read of its state and the kill are missing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineWork {
    /// Tokens decoded.
    pub decoded_tokens: u64,
    /// Requests whose prompt was processed, with or without a hit in the prefix cache.
    pub prefills: u64,
}

impl AddAssign<&EngineState> for EngineWork {
    fn add_assign(&mut self, state: &EngineState) {
        self.decoded_tokens += state.counters.decoded_tokens;
        self.prefills += state.counters.cache_hits + state.counters.cache_misses;
    }
}

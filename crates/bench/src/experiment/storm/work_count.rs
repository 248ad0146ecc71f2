//! Work of engines.

use std::ops::AddAssign;
use wire::engine::EngineState;

/// Work of engines. What a killed engine decoded in the few milliseconds between the reading of its state and its end
/// is not counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkCount {
    /// Tokens decoded.
    pub decoded_tokens: u64,
    /// Requests whose prompt was processed.
    pub prefills: u64,
}

impl AddAssign<&EngineState> for WorkCount {
    fn add_assign(&mut self, state: &EngineState) {
        self.decoded_tokens += state.counters.decoded_tokens;
        self.prefills += state.counters.cache_hits + state.counters.cache_misses;
    }
}

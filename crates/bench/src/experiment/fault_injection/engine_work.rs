//! Work that engines did.

use std::ops::AddAssign;
use wire::engine::EngineState;

/// Work that engines did, summed over their states. For a killed engine the tokens that it decoded in the few
/// milliseconds between the last read of its state and its end are not counted.
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

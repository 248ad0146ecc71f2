//! Recent values of the engine's load, which is reported with a delay.

use std::collections::VecDeque;
use wire::engine::EngineLoad;

/// Values of the load in the last `lag_ms`, each with the time in milliseconds since which it applied.
#[derive(Debug)]
pub(super) struct LoadLog {
    lag_ms: u64,
    loads: VecDeque<(u64, EngineLoad)>,
}

impl LoadLog {
    /// Creates a log whose first value is `first` and which reports the load as it was `lag_ms` ago.
    pub fn new(lag_ms: u64, first: EngineLoad) -> Self {
        Self { lag_ms, loads: VecDeque::from([(0, first)]) }
    }

    /// Adds the current load if it has changed.
    pub fn push(&mut self, load: EngineLoad, now_ms: u64) {
        self.trim(now_ms);
        if self.loads.back().is_none_or(|(_, last)| *last != load) {
            self.loads.push_back((now_ms, load));
        }
    }

    /// Returns the load as it was `lag_ms` ago.
    pub fn delayed(&mut self, now_ms: u64) -> EngineLoad {
        self.trim(now_ms);
        self.loads.front().map_or_else(EngineLoad::default, |(_, load)| *load)
    }

    fn trim(&mut self, now_ms: u64) {
        while self.loads.get(1).is_some_and(|(at_ms, _)| at_ms + self.lag_ms <= now_ms) {
            self.loads.pop_front();
        }
    }
}

//! Monotonic clock in milliseconds.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock that counts milliseconds from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at 0 ms.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Milliseconds since the clock started.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The instant at which the clock shows `at_ms`.
    pub fn instant_at(&self, at_ms: u64) -> Instant {
        self.origin + std::time::Duration::from_millis(at_ms)
    }

    /// Wall-clock time in milliseconds since the Unix epoch; 0 if the system clock is before it.
    pub fn unix_ms() -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

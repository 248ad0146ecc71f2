//! Monotonic clock in milliseconds.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock that counts milliseconds from its creation, including the time that the VM was suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Starts a clock at 0 ms.
    pub fn start() -> Self {
        Self { origin: boot_time() }
    }

    /// Milliseconds since the clock started.
    pub fn now_ms(&self) -> u64 {
        let elapsed = boot_time().saturating_sub(self.origin);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    /// The instant at which the clock shows `at_ms` unless the VM is suspended before; now for a time that has passed.
    pub fn instant_at(&self, at_ms: u64) -> Instant {
        let wait =
            Duration::from_millis(at_ms).saturating_sub(boot_time().saturating_sub(self.origin));
        Instant::now() + wait
    }

    /// Wall-clock time in milliseconds since the Unix epoch; 0 if the system clock is before it.
    pub fn unix_ms() -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Time since boot. `Instant` does not count suspension, and a deadline must.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

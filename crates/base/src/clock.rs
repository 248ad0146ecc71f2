//! Clock for deadlines and durations.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock that counts milliseconds from its creation, including the time for which the VM was suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Starts a clock at 0 ms.
    pub fn start() -> Self {
        Self { origin: boot_time() }
    }

    /// Returns the milliseconds since the clock started.
    pub fn now_ms(&self) -> u64 {
        let elapsed = boot_time().saturating_sub(self.origin);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the instant at which the clock shows `at_ms`, or the current instant if that time has passed. If the VM
    /// is suspended in between, the returned instant is reached too late, because `Instant` does not count suspension.
    pub fn instant_at(&self, at_ms: u64) -> Instant {
        let wait =
            Duration::from_millis(at_ms).saturating_sub(boot_time().saturating_sub(self.origin));
        Instant::now() + wait
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch, or 0 if the system clock is set before it.
    pub fn unix_ms() -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Returns the time since boot, including suspension. Deadlines must count suspension, which `Instant` does not.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

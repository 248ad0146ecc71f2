//! Number of daemons among which the fleet's limits are divided.

/// Time for which a larger count still applies, because the item of a daemon in the platform's store can expire while
/// the daemon is alive.
const RETENTION_MS: u64 = 20_000;

/// Count before the first list is read: the fleet size that the system is designed for.
const DEFAULT_COUNT: usize = 370;

/// Time for which the default still applies after the first list. The daemons of a starting fleet announce themselves
/// in this time.
const DEFAULT_RETENTION_MS: u64 = 5_000;

/// Largest number of daemons that was listed recently.
///
/// Each daemon gets its share of the fleet's limits by this number. A count that is too small would let the daemons
/// exceed the limits together, so the count decreases only after a delay.
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    /// Count of the last list; `None` before the first one.
    listed: Option<usize>,
    /// Larger counts of the past, each with the time until which it still applies.
    earlier: Vec<(usize, u64)>,
}

impl FleetSize {
    /// Records the number of daemons that are listed at `now_ms`.
    pub fn set(&mut self, listed: usize, now_ms: u64) {
        let (previous, retention_ms) = match self.listed.replace(listed) {
            Some(previous) => (previous, RETENTION_MS),
            None => (DEFAULT_COUNT, DEFAULT_RETENTION_MS),
        };
        self.earlier.retain(|&(count, until_ms)| count > listed && until_ms > now_ms);
        if previous > listed {
            self.earlier.push((previous, now_ms + retention_ms));
        }
    }

    /// Number of daemons to divide the limits by at `now_ms`; at least 1.
    pub fn get(&self, now_ms: u64) -> usize {
        let retained = self.earlier.iter().filter(|(_, until_ms)| *until_ms > now_ms);
        let largest = retained.map(|&(count, _)| count).max().unwrap_or(0);
        largest.max(self.listed.unwrap_or(DEFAULT_COUNT)).max(1)
    }
}

//! Number of daemons that share the fleet's bounds.

/// Time for which a larger number is remembered. An entry can lapse while its daemon lives.
const MEMORY_MS: u64 = 20_000;

/// Number that is assumed until one is known: the size that the system is designed for.
const ASSUMED: usize = 370;

/// Time for which it is still assumed afterwards: the daemons of a fleet that starts announce themselves in it.
const ASSUMED_MEMORY_MS: u64 = 5_000;

/// Largest number of daemons that was listed in the last while.
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    listed: Option<usize>,
    /// Larger numbers of before, and until when they count.
    before: Vec<(usize, u64)>,
}

impl FleetSize {
    /// Takes over the number of daemons that are listed at `now_ms`.
    pub fn set(&mut self, listed: usize, now_ms: u64) {
        let (before, memory_ms) = match self.listed.replace(listed) {
            Some(before) => (before, MEMORY_MS),
            None => (ASSUMED, ASSUMED_MEMORY_MS),
        };
        self.before.retain(|&(count, until_ms)| count > listed && until_ms > now_ms);
        if before > listed {
            self.before.push((before, now_ms + memory_ms));
        }
    }

    /// The number at `now_ms`.
    pub fn get(&self, now_ms: u64) -> usize {
        let remembered = self.before.iter().filter(|(_, until_ms)| *until_ms > now_ms);
        let largest = remembered.map(|&(count, _)| count).max().unwrap_or(0);
        largest.max(self.listed.unwrap_or(ASSUMED)).max(1)
    }
}

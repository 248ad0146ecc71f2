//! Filter for lists that are read from an eventually consistent platform.

/// Number of mismatching reads after which a list replaces the held text although it hasn't changed since the last
/// read.
const MAX_MISMATCHES: u32 = 3;

/// Decides whether a list that a reader got from the platform becomes a new version.
///
/// Several daemons read the list, and each may see it with a different lag. A read that equals the previous read but
/// not the held text may be older than what another reader has published already. It replaces the held text only if it
/// still differs after several reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadFilter {
    last_hash: Option<u64>,
    mismatches: u32,
}

impl ReadFilter {
    /// Returns whether a read with the hash `read_hash` becomes a new version, given the hash of the held text.
    pub fn accept(&mut self, held_hash: u64, read_hash: u64) -> bool {
        let has_changed = self.last_hash != Some(read_hash);
        self.last_hash = Some(read_hash);
        if read_hash == held_hash {
            self.mismatches = 0;
            return false;
        }
        self.mismatches += 1;
        if has_changed || self.mismatches > MAX_MISMATCHES {
            self.mismatches = 0;
            return true;
        }
        false
    }
}

//! Decision whether a list read from the platform becomes a new version.

/// Reads that must differ from the held text before an unchanged read replaces it.
const MISMATCHES: u32 = 3;

/// Decision of a reader whether a list read from the platform becomes a new version.
///
/// Several daemons read a list that lags. A read that did not change since the last one may be older than what another
/// reader has spread already, so it replaces the held text only if it still differs after several reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadFilter {
    last_hash: Option<u64>,
    mismatches: u32,
}

impl ReadFilter {
    /// Whether a read with hash `read_hash` becomes a new version, given the hash of the held text.
    pub fn accept(&mut self, held_hash: u64, read_hash: u64) -> bool {
        let has_changed = self.last_hash != Some(read_hash);
        self.last_hash = Some(read_hash);
        if read_hash == held_hash {
            self.mismatches = 0;
            return false;
        }
        self.mismatches += 1;
        if has_changed || self.mismatches > MISMATCHES {
            self.mismatches = 0;
            return true;
        }
        false
    }
}

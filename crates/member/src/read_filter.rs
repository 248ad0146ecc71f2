//! Filter for lists that are read from an eventually consistent platform.

/// Number of reads that differ from the held text after which the list that was read replaces the held text, although
/// the list hasn't changed since the previous read.
const MAX_MISMATCHES: u32 = 3;

/// Decides whether a list that a reader got from the platform becomes a new version.
///
/// Several daemons read the list, and each may see it with a different lag. The held text is the version that this
/// daemon has, from its own read or from another reader. A read that equals the previous read but not the held text may
/// be older than the held text, so it replaces the held text only if they still differ after several reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadFilter {
    /// Hash of the previous read; `None` before the first one.
    last_hash: Option<u64>,
    /// Number of reads that differed from the held text since the last one that was equal or accepted.
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

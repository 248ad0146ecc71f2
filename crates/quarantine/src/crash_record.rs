//! Crash that a ledger remembers.

use crate::{crash::CrashedEngine, part_id::PartId, suspect::Suspect};
use base::{DomainName, stable_hash};

/// Largest number of requests that are remembered for a crash.
const MAX_SUSPECTS: usize = 8;

/// Crash of an engine, with all that is known of its requests.
#[derive(Clone, Debug)]
pub(crate) struct CrashRecord {
    pub domain: DomainName,
    /// Time of the crash on the clock of the ledger.
    pub at_ms: u64,
    /// Requests that the engine had not answered for long, or not at all, with their parts sorted.
    pub suspects: Vec<Suspect>,
}

impl CrashRecord {
    /// Parts of all requests. A part of several requests is repeated.
    pub fn parts(&self) -> impl Iterator<Item = &PartId> {
        self.suspects.iter().flat_map(Suspect::parts)
    }

    /// Returns the position of a request of the crash of `engine`. A request that is not known is added without parts; `None`
    /// if it is not kept.
    ///
    /// Requests that had begun are kept before others, and among equals those with the lowest hashes, which differ from crash
    /// to crash. So all daemons keep the same ones, in whatever order they hear of them.
    pub fn find_or_add(&mut self, engine: &CrashedEngine, suspect: &Suspect) -> Option<usize> {
        let known = self.suspects.iter().position(|known| known.id() == suspect.id());
        if known.is_some() {
            return known;
        }
        if self.suspects.len() < MAX_SUSPECTS {
            self.suspects.push(suspect.piece(Vec::new()));
            return Some(self.suspects.len() - 1);
        }
        let rank = |suspect: &Suspect| (!suspect.has_begun(), stable_hash(&(engine, suspect.id())));
        let last = (0..self.suspects.len()).max_by_key(|&i| rank(&self.suspects[i]))?;
        if rank(&self.suspects[last]) < rank(suspect) {
            return None;
        }
        self.suspects[last] = suspect.piece(Vec::new());
        Some(last)
    }

    /// Whether some request holds both parts.
    pub fn has_request_with(&self, a: &PartId, b: &PartId) -> bool {
        self.suspects.iter().any(|suspect| suspect.contains(a) && suspect.contains(b))
    }
}

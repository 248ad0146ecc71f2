//! Crash that a ledger remembers.

use crate::{part_id::PartId, suspect::Suspect};
use base::DomainName;

/// Crash of an engine, with all that is known of its requests.
#[derive(Clone, Debug)]
pub(crate) struct CrashRecord {
    pub domain: DomainName,
    /// Time of the crash on the clock of the ledger.
    pub at_ms: u64,
    /// Requests that the engine had just begun to answer, with their parts sorted.
    pub suspects: Vec<Suspect>,
}

impl CrashRecord {
    /// Parts of all requests. A part of several requests is repeated.
    pub fn parts(&self) -> impl Iterator<Item = &PartId> {
        self.suspects.iter().flat_map(Suspect::parts)
    }

    /// Whether some request holds both parts.
    pub fn has_request_with(&self, a: &PartId, b: &PartId) -> bool {
        self.suspects.iter().any(|suspect| suspect.contains(a) && suspect.contains(b))
    }
}

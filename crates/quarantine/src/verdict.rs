//! Parts of prompts that crash engines.

use crate::{crash::CrashedEngine, part_id::PartId};

/// Parts that every one of a series of crashes has in common. A request that holds all of them is not sent to an
/// engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// The parts, sorted. There are several only as long as each crash had all of them.
    pub parts: Vec<PartId>,
    /// Engines that crashed, in the order of the crashes.
    pub engines: Vec<CrashedEngine>,
    /// Time of the first of the crashes, on the clock of the ledger.
    pub first_ms: u64,
    /// Time of the last of the crashes, on the clock of the ledger.
    pub last_ms: u64,
    /// Whether engines have survived other requests since the first of the crashes. Otherwise they may crash on any
    /// request.
    pub has_contrast: bool,
}

impl Verdict {
    /// Whether a prompt with these shared parts holds all parts of the verdict.
    pub fn applies_to(&self, parts: &[PartId]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }
}

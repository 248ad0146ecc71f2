//! Request that an engine may have crashed on.

use crate::part_id::PartId;
use base::stable_hash;
use serde::{Deserialize, Serialize};

/// Largest number of parts of one request that are remembered, as many as a header of 16,384 bytes can name.
const MAX_PARTS: usize = 4_096;

/// Shared parts of the prompt of a request that an engine had not answered for long, or not at all, when it crashed. A
/// message may hold some of the parts only.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// Identifier of the request among those of one crash, the same in each message.
    id: u32,
    parts: Vec<PartId>,
    /// Whether the engine had begun to answer the request.
    has_begun: bool,
}

impl Suspect {
    /// Creates the suspect for a request with these shared parts that the engine had just begun to answer.
    pub fn new(mut parts: Vec<PartId>) -> Self {
        let id = stable_hash(&parts) as u32;
        parts.sort_unstable();
        parts.dedup();
        parts.truncate(MAX_PARTS);
        Self { id, parts, has_begun: true }
    }

    /// Creates the suspect for a request with these shared parts to which the engine had sent nothing.
    pub fn waiting(parts: Vec<PartId>) -> Self {
        Self { has_begun: false, ..Self::new(parts) }
    }

    /// Whether the engine had begun to answer the request.
    pub(crate) fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Adds whether the engine had begun to answer. Returns whether that was not known.
    pub(crate) fn set_begun(&mut self, has_begun: bool) -> bool {
        has_begun && !std::mem::replace(&mut self.has_begun, true)
    }

    /// Identifier of the request among those of one crash.
    pub(crate) fn id(&self) -> u32 {
        self.id
    }

    /// Parts of the prompt, sorted unless another daemon sent them.
    pub fn parts(&self) -> &[PartId] {
        &self.parts
    }

    /// Whether the request holds the part. The parts must be sorted.
    pub(crate) fn contains(&self, part: &PartId) -> bool {
        self.parts.binary_search(part).is_ok()
    }

    /// Creates a suspect with some of the parts of the request.
    pub(crate) fn piece(&self, parts: Vec<PartId>) -> Self {
        Self { id: self.id, parts, has_begun: self.has_begun }
    }

    /// Adds parts of the same request, and returns those that were not known. The parts stay sorted.
    pub(crate) fn add(&mut self, parts: &[PartId]) -> Vec<PartId> {
        let mut added: Vec<PartId> =
            parts.iter().filter(|part| !self.contains(part)).copied().collect();
        added.sort_unstable();
        added.dedup();
        added.truncate(MAX_PARTS.saturating_sub(self.parts.len()));
        self.parts.extend_from_slice(&added);
        self.parts.sort_unstable();
        added
    }
}

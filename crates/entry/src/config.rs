//! Configuration document that an entry uses, with its revision.

use fleet::{ConfigPosition, Document};

/// Configuration of an entry: a document that was valid when it was activated, or the empty default.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Revision of the document on the platform; 0 before the first document was applied.
    pub revision: u64,
    /// Configuration document; empty before the first one was applied.
    pub document: Document,
}

impl Config {
    /// Position of this configuration in the order of all configurations. It decides whether another one may replace
    /// this one.
    pub fn position(&self) -> ConfigPosition {
        ConfigPosition::of(self.revision, &self.document)
    }
}

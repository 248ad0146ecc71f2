//! Active configuration.

use fleet::{ConfigPosition, Document};

/// Configuration document with its revision on the platform.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Revision of the document on the platform; 0 before the first document was applied.
    pub revision: u64,
    /// Configuration document; empty before the first one was applied.
    pub document: Document,
}

impl Config {
    /// Position of this configuration in the order of all configurations.
    pub fn succession(&self) -> ConfigPosition {
        ConfigPosition::of(self.revision, &self.document)
    }
}

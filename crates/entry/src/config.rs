//! Configuration in force.

use fleet::{ConfigPosition, Document};

/// Configuration document with the revision at which the platform holds it.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Revision; 0 before the first document was read.
    pub revision: u64,
    /// Document.
    pub document: Document,
}

impl Config {
    /// Position in the order of all configurations.
    pub fn succession(&self) -> ConfigPosition {
        ConfigPosition::of(self.revision, &self.document)
    }
}

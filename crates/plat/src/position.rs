//! Position in the history of a key-value service.

/// Position in the history of a key-value service, up to which all changes are known. Revisions are comparable only
/// within one era.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// Number of times that the service has been restored from an older copy.
    pub era: u64,
    /// Revision of the last known change.
    pub revision: u64,
}

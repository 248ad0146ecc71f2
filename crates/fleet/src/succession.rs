//! Which configuration may replace the one in force.

/// Position of a configuration in the order of all configurations.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Succession {
    /// Revision at which the platform holds the document.
    pub revision: u64,
    /// `Document::sequence`.
    pub sequence: u64,
}

impl Succession {
    /// Whether `offered` may take the place of this one, so that no accepted change is reverted.
    ///
    /// The revision alone is not enough: a platform that lost writes in an outage counts on from an older state, and
    /// a document without the accepted changes can then get a higher revision. The number of confirmed plans tells
    /// the two apart. It stays 0 for documents that are written without plans.
    pub fn may_become(&self, offered: &Self) -> bool {
        let is_unplanned = self.sequence == 0 && offered.sequence == 0;
        offered.revision > self.revision && (offered.sequence > self.sequence || is_unplanned)
    }
}

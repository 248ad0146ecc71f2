//! Changes of the verdicts of a ledger.

use crate::verdict::Verdict;

/// Change of a verdict after new evidence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Engines crashed on parts, but not often enough for a verdict.
    Suspected(Verdict),
    /// Requests with these parts are no longer sent to engines.
    Condemned(Verdict),
    /// Requests with these parts are sent to engines again.
    Released(Verdict),
}

//! Decision on whether a request may be sent to an engine.

use crate::verdict::Verdict;

/// Whether a request may be sent to an engine, by the parts of its prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// No known crash stands against the request.
    Allowed,
    /// The request holds condemned parts, and is sent to find out whether they still crash engines.
    Trial(Verdict),
    /// The request holds condemned parts.
    Refused {
        verdict: Verdict,
        /// Time until this daemon sends a request with these parts again.
        retry_after_ms: u64,
    },
}

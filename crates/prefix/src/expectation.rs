//! What was expected to be cached when a request was sent.

use crate::basis::Basis;

/// Reason to expect each of the leading parts of a prompt at an engine, from which the daemon learns once the first event
/// has come.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expectation {
    pub(crate) parts: Vec<ExpectedPart>,
    /// Number of tokens of the whole prompt.
    pub(crate) prompt_tokens: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ExpectedPart {
    pub tokens: u64,
    pub basis: Basis,
    pub popularity: f64,
    /// Probability that the part and all parts before it are cached.
    pub probability: f64,
}

impl Expectation {
    /// Expected number of tokens that do not have to be read.
    pub fn cached_tokens(&self) -> f64 {
        self.parts.iter().map(|part| part.tokens as f64 * part.probability).sum()
    }

    /// Expected number of tokens that have to be read.
    pub fn read_tokens(&self) -> f64 {
        (self.prompt_tokens as f64 - self.cached_tokens()).max(0.0)
    }
}

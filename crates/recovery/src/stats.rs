//! Counters of one generation.

/// What recovery cost.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stats {
    /// Attempts that were started.
    pub attempts: u32,
    /// Attempts that were lost.
    pub losses: u32,
    /// Attempts that were suspected of silence.
    pub suspicions: u32,
    /// Second attempts that ran beside a suspected one.
    pub hedges: u32,
    /// Tokens that arrived and were not accepted: extra decoded tokens.
    pub dropped_tokens: u32,
}

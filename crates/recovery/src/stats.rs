//! Counters of attempts and dropped tokens.

/// Counters that show what the recovery of one generation cost.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stats {
    /// Attempts that were started, not counting those for which no engine was available.
    pub attempts: u32,
    /// Attempts that failed, or that were cancelled because they were suspected.
    pub losses: u32,
    /// Attempts that exceeded their silence or first-token timeout.
    pub suspicions: u32,
    /// Attempts that were started while a suspected attempt was still running.
    pub hedges: u32,
    /// Tokens that arrived but were not accepted, which are extra work of the engines.
    pub dropped_tokens: u32,
}

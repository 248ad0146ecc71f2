//! Times that the state machine of a generation measures for the timing tracker.

/// Time in milliseconds that was measured when a token was accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TimingSample {
    /// Time since the previous token of the same attempt.
    Gap(u64),
    /// Time from the send of an attempt, or from its start if no send was reported, to its first token.
    FirstToken(u64),
}

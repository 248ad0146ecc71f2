//! Times that a generation measured.

/// Time that an accepted token shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TimingSample {
    /// Time since the token before it, of the same attempt.
    Gap(u64),
    /// Wait for the first token of its attempt.
    FirstToken(u64),
}

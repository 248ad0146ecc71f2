//! Actions that the state machine of a generation demands.

use crate::{attempt::AttemptId, fail_cause::FailCause};

/// Something to be done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start an attempt that continues from all accepted tokens.
    Start {
        /// Number of the new attempt.
        attempt: AttemptId,
        /// Whether it recovers a generation that ran before.
        is_recovery: bool,
    },
    /// Cancel an attempt: close its connection.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Release the token at `index` to the caller.
    Release {
        /// Position in the answer.
        index: u32,
    },
    /// The answer is whole.
    Finish,
    /// The generation cannot be finished.
    Fail(FailCause),
}

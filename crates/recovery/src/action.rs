//! Actions that the state machine of a generation requests.

use crate::{attempt::AttemptId, fail_cause::FailCause};

/// An action that the driver of the state machine must perform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start an attempt that continues after all accepted tokens.
    Start {
        /// Number of the new attempt, by which the driver refers to it in inputs.
        attempt: AttemptId,
        /// Whether the attempt recovers the generation; false only for the first attempt, if no token has been accepted
        /// yet.
        is_recovery: bool,
    },
    /// Cancel an attempt by closing its connection.
    Cancel {
        /// Number of the attempt to cancel.
        attempt: AttemptId,
    },
    /// Release an accepted token to the caller.
    Release {
        /// Position of the token in the answer, from 0.
        index: u32,
    },
    /// End the answer, which is complete.
    Finish,
    /// End the answer with an error, because the generation cannot be finished.
    Fail(FailCause),
}

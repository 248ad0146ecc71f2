//! Why a generation could not be finished.

use quick_error::quick_error;

quick_error! {
    /// Why a generation could not be finished.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum FailCause {
        /// No engine with the pinned version was found in time.
        NoUpstream {
            display("no engine has the pinned model version")
        }
        /// Too many attempts without a new token.
        AttemptsExhausted {
            display("too many attempts failed without a new token")
        }
        /// The rate limit of recovery attempts did not admit an attempt in time.
        NotAdmitted {
            display("no recovery attempt was admitted in time")
        }
    }
}

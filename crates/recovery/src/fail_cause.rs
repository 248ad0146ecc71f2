//! Reasons for which a generation fails.

use quick_error::quick_error;

quick_error! {
    /// Why a generation could not be finished.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum FailCause {
        /// No engine with the pinned model version was available in time.
        NoUpstream {
            display("no engine has the pinned model version")
        }
        /// Too many consecutive attempts delivered no new token.
        AttemptsExhausted {
            display("too many attempts failed without a new token")
        }
        /// The request may not be sent to another engine, and no attempt is left.
        NotPermitted {
            display("no further attempt is permitted")
        }
        /// The limits on recovery attempts did not admit an attempt in time.
        NotAdmitted {
            display("no recovery attempt was admitted in time")
        }
    }
}

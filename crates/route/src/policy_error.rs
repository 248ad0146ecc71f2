//! Errors in the name of a selection policy.

use quick_error::quick_error;

quick_error! {
    /// Reason why a string cannot be parsed as a policy.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum PolicyError {
        /// No policy has this name.
        Unknown {
            display("unknown routing policy")
        }
    }
}

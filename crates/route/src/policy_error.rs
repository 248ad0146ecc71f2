//! Error of a policy name.

use quick_error::quick_error;

quick_error! {
    /// Why a raw string is not a policy.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum PolicyError {
        /// There is no policy of this name.
        Unknown {
            display("there is no such policy")
        }
    }
}

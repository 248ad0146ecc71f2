//! Error of parsing the hash of a bearer key.

use quick_error::quick_error;

quick_error! {
    /// Reason why a string is not the hash of a bearer key.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum KeyHashError {
        /// The string is not 64 lower-case hexadecimal digits.
        Digits {
            display("a hash has 64 lower-case hexadecimal digits")
        }
    }
}

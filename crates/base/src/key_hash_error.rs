//! Error of a key's hash.

use quick_error::quick_error;

quick_error! {
    /// Why a raw string is not the hash of a key.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum KeyHashError {
        /// It is not 64 lower-case hexadecimal digits.
        Digits {
            display("a hash has 64 lower-case hexadecimal digits")
        }
    }
}

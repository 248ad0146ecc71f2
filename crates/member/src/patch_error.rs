//! Errors of patches and updates.

use quick_error::quick_error;

quick_error! {
    /// Error of a patch or update.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum PatchError {
        /// The patch applies to another version than the one that this daemon holds.
        Base {
            display("the patch applies to another version")
        }
        /// The patch exceeds the length of the text, or its result is not valid UTF-8.
        Range {
            display("the patch does not match the text")
        }
        /// The text doesn't have the hash that its version states.
        Hash {
            display("the text does not have the hash of its version")
        }
    }
}

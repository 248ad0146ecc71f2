//! Errors of a patch.

use quick_error::quick_error;

quick_error! {
    /// Why a text cannot be changed by an update.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum PatchError {
        /// The patch belongs to another version of the text.
        Base {
            display("the patch belongs to another version")
        }
        /// The patch reaches beyond the text or cuts a character.
        Range {
            display("the patch does not fit the text")
        }
        /// The result does not have the hash of its version.
        Hash {
            display("the text does not have the hash of its version")
        }
    }
}

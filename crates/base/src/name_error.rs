//! Error of a name that breaks the rules for length and characters.

use quick_error::quick_error;

quick_error! {
    /// Reason why a string is not a valid name.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum NameError {
        /// The string is empty.
        Empty {
            display("the name is empty")
        }
        /// The string is longer than 64 bytes.
        TooLong(size_bytes: usize) {
            display("the name has {size_bytes} bytes, at most 64 are allowed")
        }
        /// The string contains a character other than `a-z A-Z 0-9 . _ -`.
        Character(character: char) {
            display("the name holds {character:?}, allowed are a-z A-Z 0-9 . _ -")
        }
    }
}

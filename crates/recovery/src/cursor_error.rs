//! Errors of the cursor parser.

use base::NameError;
use quick_error::quick_error;
use std::num::ParseIntError;

quick_error! {
    /// Why a text is not a cursor.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CursorError {
        /// The text does not have the five parts of a cursor, or the view has no `-` between its number and nonce.
        Format {
            display("a cursor has the form generation/view/entry/holder/index")
        }
        /// The identifier of the generation is empty, longer than 64 bytes, or has a character other than an ASCII
        /// letter, a digit or a hyphen.
        Generation {
            display("the generation of the cursor is not valid")
        }
        /// The number of the view or the index is not a decimal 32-bit integer, or the nonce is not a hexadecimal one.
        Number(cause: ParseIntError) {
            display("a number of the cursor is not valid: {cause}")
            source(cause)
            from()
        }
        /// The entry or the holder is not a valid VM identifier.
        Name(cause: NameError) {
            display("a name of the cursor is not valid: {cause}")
            source(cause)
            from()
        }
    }
}

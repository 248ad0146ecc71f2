//! Errors of the cursor parser.

use base::NameError;
use quick_error::quick_error;
use std::num::ParseIntError;

quick_error! {
    /// Why a text is not a cursor.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CursorError {
        /// The text does not have the five parts of a cursor, or the view lacks its nonce.
        Format {
            display("a cursor has the form generation/view/entry/holder/index")
        }
        /// The identifier of the generation is empty, too long or has a character that is not allowed.
        Generation {
            display("the generation of the cursor is not valid")
        }
        /// The number or nonce of the view, or the index, is not a valid number.
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

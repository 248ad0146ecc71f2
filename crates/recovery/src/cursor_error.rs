//! Errors of a cursor.

use base::NameError;
use quick_error::quick_error;
use std::num::ParseIntError;

quick_error! {
    /// Why a text is not a cursor.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CursorError {
        /// The text has another number of parts.
        Format {
            display("a cursor has the form generation/view/entry/holder/index")
        }
        /// The generation's identifier has an unusual length or character.
        Generation {
            display("the generation of the cursor is not valid")
        }
        /// The view or the index is not a number.
        Number(cause: ParseIntError) {
            display("a number of the cursor is not valid: {cause}")
            source(cause)
            from()
        }
        /// The entry or the holder is not a name.
        Name(cause: NameError) {
            display("a name of the cursor is not valid: {cause}")
            source(cause)
            from()
        }
    }
}

//! Errors of a claim.

use quick_error::quick_error;

quick_error! {
    /// Why a journal cannot be claimed with a cursor.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum ClaimError {
        /// There is no copy of the journal here.
        Unknown {
            display("there is no copy of the journal")
        }
        /// The journal belongs to another client account.
        Account {
            display("the journal belongs to another client account")
        }
        /// The copy does not hold the position of the cursor.
        Cursor {
            display("the copy does not hold the position of the cursor")
        }
    }
}

//! Errors of claims of a journal.

use quick_error::quick_error;

quick_error! {
    /// Why a journal cannot be claimed with a cursor.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum ClaimError {
        /// This daemon has no replica of the journal.
        Unknown {
            display("this daemon has no replica of the journal")
        }
        /// The journal belongs to another client account.
        Account {
            display("the journal belongs to another client account")
        }
        /// The replica does not contain the position of the cursor.
        Cursor {
            display("the replica does not contain the position of the cursor")
        }
    }
}

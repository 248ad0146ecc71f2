//! Errors of claims, by which a daemon becomes the owner of a journal.

use quick_error::quick_error;

quick_error! {
    /// Why a journal cannot be claimed with a cursor.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum ClaimError {
        /// This daemon never had a replica of the journal, or has dropped it.
        Unknown {
            display("this daemon has no replica of the journal")
        }
        /// The journal belongs to another client account than the one that sent the cursor.
        Account {
            display("the journal belongs to another client account")
        }
        /// The replica lacks the view of the cursor, or the index of the cursor is after the end of that view.
        Cursor {
            display("the replica does not contain the position of the cursor")
        }
    }
}

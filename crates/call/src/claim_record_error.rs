//! Errors of claim records.

use quick_error::quick_error;

quick_error! {
    /// Why a claim record cannot be decoded or encoded.
    #[derive(Debug)]
    pub enum ClaimRecordError {
        /// The value is not the JSON form of a record.
        Json(cause: serde_json::Error) {
            display("the claim record is not valid: {cause}")
            source(cause)
            from()
        }
    }
}

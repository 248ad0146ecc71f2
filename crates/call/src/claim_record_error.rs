//! Errors of claim records.

use quick_error::quick_error;

quick_error! {
    /// Why a claim record cannot be read or written.
    #[derive(Debug)]
    pub enum ClaimRecordError {
        /// The value has another shape.
        Json(cause: serde_json::Error) {
            display("the claim is not valid: {cause}")
            source(cause)
            from()
        }
    }
}

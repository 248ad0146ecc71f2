//! Why an item of the record cannot be read.

use quick_error::quick_error;

quick_error! {
    /// Why an item of the record cannot be read.
    #[derive(Debug)]
    pub enum ItemError {
        /// The value is not valid.
        Json(cause: serde_json::Error) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The key is not the one that the value belongs to.
        Key {
            display("the key does not match the value")
        }
    }
}

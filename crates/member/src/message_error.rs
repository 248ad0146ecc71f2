//! Errors of a message.

use quick_error::quick_error;

quick_error! {
    /// Why a message cannot be read or written.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum MessageError {
        /// The codec failed.
        Codec(cause: postcard::Error) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The opaque digest is larger than allowed.
        DigestSize(size_bytes: usize) {
            display("the digest has {size_bytes} bytes, at most 256 are allowed")
        }
    }
}

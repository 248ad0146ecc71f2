//! Errors of message encoding and decoding.

use quick_error::quick_error;

quick_error! {
    /// Error of message encoding or decoding.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum MessageError {
        /// Postcard failed to encode or decode the message.
        Codec(cause: postcard::Error) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The digest is larger than `Heartbeat::MAX_DIGEST_BYTES`.
        DigestSize(size_bytes: usize) {
            display("the digest has {size_bytes} bytes, at most 256 are allowed")
        }
    }
}

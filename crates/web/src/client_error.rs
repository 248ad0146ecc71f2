//! Errors of the HTTP client.

use quick_error::quick_error;

quick_error! {
    /// Why a request failed.
    #[derive(Debug)]
    pub enum ClientError {
        /// No connection could be opened, so nothing was sent.
        Connect(cause: std::io::Error) {
            display("no connection: {cause}")
            source(cause)
        }
        /// The connection was closed before the request was written, so nothing was sent.
        Unsent(cause: hyper::Error) {
            display("the connection was closed before the request was sent: {cause}")
            source(cause)
        }
        /// The connection failed after the request may have been sent.
        Transport(cause: hyper::Error) {
            display("the connection failed: {cause}")
            source(cause)
        }
        /// No complete response arrived within this time.
        Timeout(wait_ms: u64) {
            display("no answer within {wait_ms} ms")
        }
        /// The request could not be built.
        Request(cause: hyper::http::Error) {
            display("the request is not valid: {cause}")
            source(cause)
            from()
        }
        /// The body of the response could not be read.
        Body(cause: crate::body::ReadBodyError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The response is not the expected JSON, or the body of the request could not be encoded as JSON.
        Json(cause: serde_json::Error) {
            display("the answer is not the expected JSON: {cause}")
            source(cause)
            from()
        }
    }
}

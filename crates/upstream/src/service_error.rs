//! Errors of a call to a plain service.

use quick_error::quick_error;

quick_error! {
    /// Why a call to a plain service got no answer.
    #[derive(Debug)]
    pub enum ServiceError {
        /// No connection could be opened; nothing was sent.
        Connect(cause: std::io::Error) {
            display("no connection: {cause}")
            source(cause)
        }
        /// The connection failed after the call may have been sent.
        Transport(cause: hyper::Error) {
            display("the connection failed: {cause}")
            source(cause)
        }
        /// No whole answer came in time.
        Timeout(wait_ms: u64) {
            display("no answer within {wait_ms} ms")
        }
        /// The body of the answer could not be read.
        Body(cause: web::ReadBodyError) {
            display("{cause}")
            source(cause)
        }
        /// The answer belongs to another request.
        Crossed {
            display("the answer belongs to another request")
        }
    }
}

//! Errors of a call to a plain service.

use quick_error::quick_error;

quick_error! {
    /// Why a call to a plain service got no answer.
    #[derive(Debug)]
    pub enum ServiceError {
        /// The connection or the body of the answer failed.
        Client(cause: web::ClientError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// No complete answer arrived in time.
        Timeout(wait_ms: u64) {
            display("no answer within {wait_ms} ms")
        }
        /// The answer belongs to another request.
        WrongRequestId {
            display("the answer belongs to another request")
        }
    }
}

//! Errors of a call to a plain service.

use quick_error::quick_error;

quick_error! {
    /// Why a call to a plain service failed.
    #[derive(Debug)]
    pub enum ServiceError {
        /// The connection could not be opened or failed, or the body of the response could not be read.
        Client(cause: web::ClientError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// No complete response arrived within this time.
        Timeout(wait_ms: u64) {
            display("no answer within {wait_ms} ms")
        }
        /// The daemon had no room for the body of the response within this time.
        NoRoom(wait_ms: u64) {
            display("no room for the answer within {wait_ms} ms")
        }
        /// The response repeats the identifier of another request.
        WrongRequestId {
            display("the answer belongs to another request")
        }
    }
}

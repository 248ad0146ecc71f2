//! Errors of an engine's stream.

use quick_error::quick_error;

quick_error! {
    /// Why an engine's stream ended early.
    #[derive(Debug)]
    pub enum EngineError {
        /// The connection failed.
        Client(cause: web::ClientError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The stream ended before the finish event.
        Closed {
            display("the stream ended before the finish event")
        }
        /// The engine refused the request.
        Refused(code: u16) {
            display("the engine answered with status {code}")
        }
        /// The engine reported that it cannot go on.
        EngineReported(message: Box<str>) {
            display("the engine reported: {message}")
        }
        /// An event belongs to another request.
        WrongRequestId {
            display("an event belongs to another request")
        }
        /// A token lies beyond the limit of the answer.
        TooManyTokens(max_tokens: u32) {
            display("a token lies beyond the limit of {max_tokens} tokens")
        }
        /// The text of a token is longer than any token's.
        TokenTextTooLong(size_bytes: usize) {
            display("the text of a token has {size_bytes} bytes")
        }
        /// The stream is not a valid event stream.
        Decode(cause: wire::sse::DecoderError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// An event has not the expected shape.
        Event(cause: wire::engine::EventError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// An event or the request is not the expected JSON.
        Json(cause: serde_json::Error) {
            display("not the expected JSON: {cause}")
            source(cause)
            from()
        }
        /// The request could not be built.
        Request(cause: hyper::http::Error) {
            display("the request is not valid: {cause}")
            source(cause)
            from()
        }
    }
}

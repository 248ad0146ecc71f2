//! Errors of a completion stream from an engine.

use quick_error::quick_error;

quick_error! {
    /// Why a completion stream could not be opened, or why it ended early.
    #[derive(Debug)]
    pub enum EngineError {
        /// The connection could not be opened, or it failed later.
        Client(cause: web::ClientError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The stream ended, or the event `[DONE]` arrived, before the finish event.
        Closed {
            display("the stream ended before the finish event")
        }
        /// The engine refused the request with this HTTP status.
        Refused(code: u16) {
            display("the engine answered with status {code}")
        }
        /// The engine reported that it cannot continue the answer.
        EngineReported(message: Box<str>) {
            display("the engine reported: {message}")
        }
        /// An event does not repeat the identifier of this stream's request.
        WrongRequestId {
            display("an event belongs to another request")
        }
        /// The position of a token exceeds the limit that the request sets for the answer.
        TooManyTokens(max_tokens: u32) {
            display("a token lies beyond the limit of {max_tokens} tokens")
        }
        /// The text of a token exceeds the size limit.
        TokenTextTooLong(size_bytes: usize) {
            display("the text of a token has {size_bytes} bytes")
        }
        /// The stream is not a valid stream of server-sent events, or an event exceeds the size limit.
        Decode(cause: wire::sse::DecoderError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// An event has unexpected fields or an unknown finish reason.
        Event(cause: wire::engine::EventError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// An event could not be decoded from JSON, or the request could not be encoded.
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

//! Errors of calls to peers.

use quick_error::quick_error;

quick_error! {
    /// Why a call to a peer failed, or why the peer thread could not be started.
    #[derive(Debug)]
    pub enum PeerError {
        /// No connection could be opened, the listen address could not be bound, or the thread could not be started.
        Connect(cause: std::io::Error) {
            display("no connection: {cause}")
            source(cause)
            from()
        }
        /// The peer did not answer in time. If a batch of appends fails for any reason, each of its appends gets this
        /// error.
        Timeout {
            display("the peer did not answer in time")
        }
        /// A name in a message is not valid.
        InvalidName(cause: base::NameError) {
            display("a message holds a name that is not valid: {cause}")
            source(cause)
            from()
        }
        /// A text in a message is not valid UTF-8.
        InvalidText(cause: std::str::Utf8Error) {
            display("a message holds a text that is not valid: {cause}")
            source(cause)
            from()
        }
        /// A message holds an enum value that the schema does not define.
        UnknownValue(cause: capnp::NotInSchema) {
            display("a message holds an unknown value: {cause}")
            source(cause)
            from()
        }
        /// The end offset of a token, in bytes, is not a valid position in the text of its message.
        TokenEndOutOfRange(end: usize) {
            display("a message holds a token end offset that is not a position in its text: {end}")
        }
        /// `capnp` reports that the call failed or that a message is malformed.
        Rpc(cause: capnp::Error) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The queue of calls to this peer is full, so the call was not sent.
        Busy {
            display("too many calls wait for this peer")
        }
        /// The thread of the `PeerNode` has stopped.
        Stopped {
            display("the thread for peers has stopped")
        }
    }
}

//! Errors of calls to peers.

use quick_error::quick_error;

quick_error! {
    /// Why a call to a peer brought no answer.
    #[derive(Debug)]
    pub enum PeerError {
        /// No connection could be opened, or the address could not be bound.
        Connect(cause: std::io::Error) {
            display("no connection: {cause}")
            source(cause)
            from()
        }
        /// The peer did not answer in time.
        Timeout {
            display("the peer did not answer in time")
        }
        /// The call failed, or a message was malformed.
        Rpc(cause: capnp::Error) {
            display("{cause}")
            source(cause)
            from()
        }
        /// Too many calls wait for this peer.
        Busy {
            display("too many calls wait for this peer")
        }
        /// The thread for peers has stopped.
        Stopped {
            display("the thread for peers has stopped")
        }
    }
}

impl From<std::str::Utf8Error> for PeerError {
    fn from(cause: std::str::Utf8Error) -> Self {
        Self::Rpc(cause.into())
    }
}

impl From<capnp::NotInSchema> for PeerError {
    fn from(cause: capnp::NotInSchema) -> Self {
        Self::Rpc(cause.into())
    }
}

impl From<base::NameError> for PeerError {
    fn from(cause: base::NameError) -> Self {
        Self::Rpc(capnp::Error::failed(cause.to_string()))
    }
}

//! Reasons for which an attempt is lost.

/// Why an attempt ended before the end of the answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LossCause {
    /// The engine closed the connection before the finish event.
    Closed,
    /// No connection to the engine could be opened.
    Connect,
    /// The engine sent an invalid message, or a message that is not valid in this state.
    Malformed,
    /// The engine refused the request.
    Refused,
    /// The connection to the engine was reset.
    Reset,
    /// The engine sent nothing for longer than the timeout of the attempt or of its connection.
    Silent,
}

impl LossCause {
    /// Name of the cause in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Connect => "connect",
            Self::Malformed => "malformed",
            Self::Refused => "refused",
            Self::Reset => "reset",
            Self::Silent => "silent",
        }
    }
}

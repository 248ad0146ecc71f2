//! Why an attempt ended without finishing the answer.

/// Why an attempt was lost.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LossCause {
    /// The connection was closed before the finish event.
    Closed,
    /// No connection could be opened.
    Connect,
    /// The engine sent something that is not valid here.
    Malformed,
    /// The engine refused the request.
    Refused,
    /// The connection was reset.
    Reset,
    /// The connection or the stream stayed silent for too long.
    Silent,
}

impl LossCause {
    /// Name for logs and metrics.
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

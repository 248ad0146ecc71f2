//! Outcome of an append.

/// What a holder says to an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendStatus {
    /// The copy holds the tokens.
    Accepted,
    /// The holder lacks the copy or earlier tokens; the owner must install it.
    Unknown,
    /// Another view has been installed; the owner must stop.
    Superseded,
    /// The holder's memory is used up.
    Full,
}

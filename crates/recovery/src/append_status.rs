//! Outcome of an append to a replica.

/// Response of a replica holder to an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendStatus {
    /// The replica contains the tokens.
    Accepted,
    /// The holder lacks the replica or earlier tokens; the owner must install the replica again.
    Unknown,
    /// The replica is in a view that the append neither belongs to nor descends from, usually because another daemon
    /// claimed the journal. The sender must stop releasing tokens in the view of the append.
    Superseded,
    /// The holder did not create the replica, because the replica would exceed the holder's memory limit.
    Full,
}

//! Outcome of an append to a replica.

/// Response of a replica holder to an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendStatus {
    /// The replica contains the tokens.
    Accepted,
    /// The holder lacks the replica or earlier tokens; the owner must install the replica again.
    Unknown,
    /// The replica is in a view that the append neither belongs to nor descends from; the owner must stop.
    Superseded,
    /// The memory limit of the holder is reached.
    Full,
}

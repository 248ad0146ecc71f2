//! Reason for which an attempt is cancelled.

/// Why the relay closes the connection of an attempt that has not failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CancelReason {
    /// The attempt sent an event that does not follow the last one.
    Malformed,
    /// The attempt sent an event, and the stream began at another software version.
    OtherVersion,
    /// The attempt was silent, and another one has taken its place.
    Replaced,
    /// The attempt before it, which was silent, has gone on.
    Superseded,
}

impl CancelReason {
    /// Value of the key `reason` in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::OtherVersion => "other_version",
            Self::Replaced => "replaced",
            Self::Superseded => "superseded",
        }
    }
}

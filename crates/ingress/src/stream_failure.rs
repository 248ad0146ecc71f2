//! Why a stream ends before it is complete.

use crate::crash_quarantine::Subject;

/// Why the relay of a stream stopped before its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// The deadline of the request has passed.
    Deadline,
    /// No attempt is left, or no further one is allowed.
    Attempts,
    /// The limits that the engines name leave no request to this daemon in time.
    Limit { retry_after_ms: u64 },
    /// No engine can begin the stream in time.
    Late { retry_after_ms: u64 },
    /// It is not known at which software version the stream began.
    VersionUnknown,
    /// No instance has the software version at which the stream began.
    VersionGone,
    /// The request or a part of its prompt crashes engines. It is sent again after the given time.
    Quarantine { subject: Subject, retry_after_ms: u64 },
}

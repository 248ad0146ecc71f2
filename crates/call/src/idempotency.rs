//! Idempotency of calls, which decides whether a call without an answer is sent again.

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Idempotency {
    /// The call must not run more than once, so it is not sent again once an upstream may have received it.
    AtMostOnce,
    /// The call may run more than once, so it may be sent again after a failure.
    Idempotent,
}

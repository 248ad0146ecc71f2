//! Idempotency of a call.

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Idempotency {
    /// The call runs at most once.
    AtMostOnce,
    /// The call may be sent again after a failure.
    Idempotent,
}

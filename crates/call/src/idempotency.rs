//! Whether a call may be repeated.

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Idempotency {
    /// It runs at most once.
    AtMostOnce,
    /// It may be sent again after a failure.
    Idempotent,
}

//! Limits of a client account.

/// Limits of a client account over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountRateLimit {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Tokens a second; `None` without a limit.
    pub tokens_per_s: Option<f64>,
}

//! Rate limit of a client account.

/// Rate limit of a client account, summed over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountRateLimit {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Tokens per second. `None` for no limit.
    pub tokens_per_s: Option<f64>,
}

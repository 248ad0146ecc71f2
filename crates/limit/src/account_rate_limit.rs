//! Rate limit that the configuration sets for a client account.

/// Rate limit of a client account, summed over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountRateLimit {
    /// Maximum number of requests per second.
    pub requests_per_s: f64,
    /// Maximum number of model tokens per second; `None` for no limit.
    pub tokens_per_s: Option<f64>,
}

//! Changes of the limit that an upstream names.

/// Change of the limit that an upstream names, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpstreamLimitChange {
    /// The upstream names a limit for the first time.
    Named { new_per_s: f64 },
    /// The upstream names another limit.
    Changed { old_per_s: f64, new_per_s: f64 },
    /// The upstream no longer names a limit.
    Ended { old_per_s: f64 },
}

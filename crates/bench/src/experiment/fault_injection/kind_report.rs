//! Report of the failures of one kind.

use serde::Serialize;

/// Report of the failures of one kind.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindReport {
    /// Number of failures.
    pub failures: usize,
    /// Streams that the failed engines were running and that delivered another token.
    pub streams: usize,
    /// Median of the time from a failure to the next token of an affected stream.
    pub p50_ms: u64,
    /// 95th percentile of that time.
    pub p95_ms: u64,
    /// 99th percentile of that time.
    pub p99_ms: u64,
    /// Maximum of that time.
    pub max_ms: u64,
}

//! What failures of one kind showed.

use serde::Serialize;

/// What failures of one kind showed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindReport {
    /// Failures.
    pub failures: usize,
    /// Streams that the failed engines were answering and that went on.
    pub streams: usize,
    /// Median of the time from a failure to the next token of a stream.
    pub p50_ms: u64,
    /// 95th percentile of the same.
    pub p95_ms: u64,
    /// 99th percentile of the same.
    pub p99_ms: u64,
    /// Longest of the same.
    pub max_ms: u64,
}

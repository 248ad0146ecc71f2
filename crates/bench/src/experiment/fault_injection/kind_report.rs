//! Part of the report of `fault_injection` with the latencies after failures of one kind.

use serde::Serialize;

/// Number of failures of one kind, and times from a failure to the next token of each affected stream.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindReport {
    /// Number of injected failures of this kind.
    pub failures: usize,
    /// Streams that the failed engines were running and that delivered another token.
    pub streams: usize,
    /// Median of the times to the next token. It and the fields below are 0 if `streams` is 0.
    pub p50_ms: u64,
    /// 95th percentile of the times to the next token.
    pub p95_ms: u64,
    /// 99th percentile of the times to the next token.
    pub p99_ms: u64,
    /// Longest time to the next token.
    pub max_ms: u64,
}

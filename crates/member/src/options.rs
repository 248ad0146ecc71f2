//! Options of the membership.

/// Timeouts and limits of the membership. All durations are in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// Time within which a suspect can refute a suspicion before it is removed.
    pub suspicion_timeout_ms: u64,
    /// Gap between two ticks above which this daemon concludes that it was paused.
    pub pause_threshold_ms: u64,
    /// Timeout of the wait for an answer of a trusted daemon after a pause. After it, this daemon trusts its own view
    /// again.
    pub distrust_timeout_ms: u64,
    /// Interval of the probes to daemons that are not live. These probes heal partitions.
    pub probe_interval_ms: u64,
    /// Time for which a removed member stays in the table, so that late messages don't add it again.
    pub removed_retention_ms: u64,
    /// Maximum size of the reports about members in one message, in bytes.
    pub max_records_bytes: usize,
    /// Number of daemons that receive a heartbeat immediately when a text has a new version or this daemon shuts down.
    pub announcement_count: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            suspicion_timeout_ms: 2_000,
            pause_threshold_ms: 1_500,
            distrust_timeout_ms: 5_000,
            probe_interval_ms: 1_000,
            removed_retention_ms: 3_600_000,
            max_records_bytes: 512,
            announcement_count: 3,
        }
    }
}

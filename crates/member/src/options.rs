//! Options of the membership.

/// Options of the membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// Time for which a suspect may refute the suspicion.
    pub suspicion_timeout_ms: u64,
    /// Time between two ticks after which this daemon takes itself for one that was paused.
    pub pause_threshold_ms: u64,
    /// Time after which a daemon that woke trusts itself again although no trusted daemon answered.
    pub distrust_timeout_ms: u64,
    /// Time between two tries to reach a daemon that is not live, which heals partitions.
    pub probe_interval_ms: u64,
    /// Time for which a removed member is remembered, so that late messages do not bring it back.
    pub removed_retention_ms: u64,
    /// Most bytes of reports about members in one message.
    pub max_records_bytes: usize,
    /// Daemons that are told at once of a new version.
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

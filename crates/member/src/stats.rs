//! Counters of suspicions, removals and pauses.

/// Counters of the membership since the start of the daemon.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stats {
    /// Suspicions that this daemon recorded, after a missing answer or from a report.
    pub suspicions: u64,
    /// Suspicions that the suspected member refuted.
    pub refuted: u64,
    /// Members that were removed, after a suspicion timed out here or through a report.
    pub removals: u64,
    /// Removed members that rejoined with a higher incarnation.
    pub returns: u64,
    /// Pauses of this daemon, detected by the gap between two ticks.
    pub pauses: u64,
}

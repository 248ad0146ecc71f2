//! Counts of the membership.

/// Counts since the start of the daemon.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stats {
    /// Suspicions that began here, by a missing answer or by a report.
    pub suspicions: u64,
    /// Suspicions that the suspect refuted.
    pub refuted: u64,
    /// Members that were removed.
    pub removals: u64,
    /// Removed members that came back with a higher incarnation.
    pub returns: u64,
    /// Pauses of this daemon that it noticed.
    pub pauses: u64,
}

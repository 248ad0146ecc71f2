//! Upstream that may be chosen.

/// What is known of an upstream at the time of the choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Requests of this entry that are in flight there.
    pub in_flight: u32,
    /// Whether it is in this entry's failure domain.
    pub is_local: bool,
}

//! Policy of the choice.

use crate::policy_error::PolicyError;
use std::str::FromStr;

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// The upstream with the smallest reported load, uncorrected; a baseline.
    LeastReported,
    /// One upstream after the other; a baseline.
    RoundRobin,
    /// The one of several random upstreams with the lowest cost by corrected load, prefix and failure domain.
    #[default]
    Scored,
    /// The one of two random upstreams with fewer requests of this entry; a baseline.
    TwoChoices,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] =
        [Self::RoundRobin, Self::LeastReported, Self::TwoChoices, Self::Scored];

    /// Name in settings and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LeastReported => "least_reported",
            Self::RoundRobin => "round_robin",
            Self::Scored => "scored",
            Self::TwoChoices => "two_choices",
        }
    }
}

impl FromStr for Policy {
    type Err = PolicyError;

    fn from_str(raw: &str) -> Result<Self, PolicyError> {
        Self::ALL.into_iter().find(|policy| policy.as_str() == raw).ok_or(PolicyError::Unknown)
    }
}

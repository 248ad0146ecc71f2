//! Selection policies.

use crate::policy_error::PolicyError;
use std::str::FromStr;

/// Policy by which an upstream is selected.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// Selects the upstream with the lowest reported load, uncorrected. A baseline for comparisons.
    LeastReported,
    /// Selects each upstream in turn. A baseline for comparisons.
    RoundRobin,
    /// Selects the upstream with the lowest cost in a random sample. The cost combines corrected load, cached prefix
    /// and failure domain.
    #[default]
    Scored,
    /// Selects the one of two random upstreams that has fewer requests of this entry in flight. A baseline for
    /// comparisons.
    TwoChoices,
}

impl Policy {
    /// All policies, with the baselines first.
    pub const ALL: [Self; 4] =
        [Self::RoundRobin, Self::LeastReported, Self::TwoChoices, Self::Scored];

    /// Returns the name of the policy in settings and reports.
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

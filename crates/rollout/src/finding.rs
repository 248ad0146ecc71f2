//! What shows that a version is bad.

use crate::route_key::RouteKey;

/// Kind of bad answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Answers with a server error.
    Failures,
    /// Answers that took several times as long as usual.
    Slowness,
}

impl Fault {
    /// Value of the key `fault` in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::Slowness => "slowness",
        }
    }
}

/// Evidence that a version is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// Route with the bad answers; `None` for all routes together.
    pub route: Option<RouteKey>,
    /// Kind of the bad answers.
    pub fault: Fault,
    /// Number of bad answers.
    pub bad: u32,
    /// Number of answers among which they are.
    pub answers: u32,
    /// Share of bad answers that is usual for the old version.
    pub usual: f64,
}

//! Kinds of durations that are measured for each service.

use serde::{Deserialize, Serialize};

/// Interval that a measured duration spans.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DurationKind {
    /// Time to the first token of a generation, or to the response of a plain service.
    First,
    /// Time between two consecutive tokens.
    Gap,
    /// Time from the last token before an engine's failure to the next token, as seen by the caller.
    Resume,
}

/// All kinds, in the order of their discriminants.
pub const DURATION_KINDS: [DurationKind; 3] =
    [DurationKind::First, DurationKind::Gap, DurationKind::Resume];

impl DurationKind {
    /// Returns the name as it is printed in reports for operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first token",
            Self::Gap => "gap",
            Self::Resume => "resume",
        }
    }
}

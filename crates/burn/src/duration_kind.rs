//! What is measured in milliseconds.

use serde::{Deserialize, Serialize};

/// Duration that is measured.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DurationKind {
    /// Time to the first token of a generation, or to the answer of a plain service.
    First,
    /// Time between two tokens.
    Gap,
    /// Time from the last token before an engine's failure to the next one, which a caller sees.
    Resume,
}

/// All measures.
pub const DURATION_KINDS: [DurationKind; 3] =
    [DurationKind::First, DurationKind::Gap, DurationKind::Resume];

impl DurationKind {
    /// Name for people.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first token",
            Self::Gap => "gap",
            Self::Resume => "resume",
        }
    }
}

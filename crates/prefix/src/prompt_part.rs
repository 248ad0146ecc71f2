//! Part of a prompt.

use crate::part_key::PartKey;

/// Part of a prompt that engines cache as a whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Key of the part alone.
    pub key: PartKey,
    /// Size of the part.
    pub tokens: u64,
}

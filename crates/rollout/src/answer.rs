//! Quality of one answer.

use crate::counts::Counts;

/// Quality of one answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Answer {
    Good,
    Failed,
    Slow,
    /// An answer that was counted as good turned out to be slow.
    BecameSlow,
}

impl Answer {
    pub fn is_bad(self) -> bool {
        self != Self::Good
    }

    pub fn add_to(self, counts: &mut Counts) {
        counts.answers += u32::from(self != Self::BecameSlow);
        counts.failures += u32::from(self == Self::Failed);
        counts.slow += u32::from(matches!(self, Self::BecameSlow | Self::Slow));
    }
}

//! Record of a confirmed plan.

use crate::diff_line::DiffLine;
use base::{OperatorName, PlanId};
use serde::{Deserialize, Serialize};

/// Confirmed plans that a document keeps. Whether an older plan was applied cannot be told from the document, so a
/// plan expires before as many changes are expected: 3,700 a day are 39 in 15 minutes.
pub const MAX_RECENT_PLANS: usize = 64;

/// Lines of difference that a document keeps for each confirmed plan. The bound keeps 64 records well below the
/// largest value of the platform.
const LINES: usize = 16;

/// A plan that was confirmed, as the document and the history keep it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfirmedPlan {
    /// Plan. Its random part is the nonce by which a lost response is resolved.
    pub plan_id: PlanId,
    /// Operator who made the plan.
    pub operator: OperatorName,
    /// Time of the confirmation since the Unix epoch.
    pub confirmed_ms: u64,
    /// Revision of the document that the plan was applied to.
    pub base_revision: u64,
    /// Value of `Document::sequence` after it.
    pub sequence: u64,
    /// Difference.
    pub lines: Vec<DiffLine>,
    /// Lines that were left out.
    #[serde(default)]
    pub omitted_lines: usize,
}

impl ConfirmedPlan {
    /// The record with a bounded number of lines.
    pub fn shortened(mut self) -> Self {
        self.omitted_lines += self.lines.len().saturating_sub(LINES);
        self.lines.truncate(LINES);
        self
    }
}

//! Records of confirmed plans.

use crate::diff_line::DiffLine;
use base::{OperatorName, PlanId};
use serde::{Deserialize, Serialize};

/// Maximum number of confirmed plans that a document lists.
///
/// The document doesn't show whether an older plan was applied. A plan therefore expires before this many further plans
/// are expected: 3,700 a day are 39 within `PLAN_LIFETIME_MS`, which is 15 minutes.
pub const MAX_RECENT_PLANS: usize = 64;

/// Maximum number of diff lines that a document keeps for each confirmed plan. It keeps 64 records well below the
/// maximum size of a value in the platform.
const MAX_LINES: usize = 16;

/// Record of a confirmed plan, as the document and the history store it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfirmedPlan {
    /// Identifier of the plan. Its random part is the nonce that shows, after a lost answer of the platform, whether
    /// the plan was applied.
    pub plan_id: PlanId,
    /// Operator who made the plan.
    pub operator: OperatorName,
    /// Time of the confirmation in milliseconds since the Unix epoch.
    pub confirmed_ms: u64,
    /// Revision of the document that the plan was applied to.
    pub base_revision: u64,
    /// `Document::sequence` after the plan was applied.
    pub sequence: u64,
    /// Diff of the plan, limited to the first lines.
    pub lines: Vec<DiffLine>,
    /// Number of diff lines that were left out.
    #[serde(default)]
    pub omitted_lines: usize,
}

impl ConfirmedPlan {
    /// Returns the record with the diff truncated to the maximum number of lines.
    pub fn shortened(mut self) -> Self {
        self.omitted_lines += self.lines.len().saturating_sub(MAX_LINES);
        self.lines.truncate(MAX_LINES);
        self
    }
}

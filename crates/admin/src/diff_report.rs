//! Answer to a question for a difference.

use fleet::DiffLine;
use serde::{Deserialize, Serialize};

/// Difference between two revisions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DiffReport {
    /// Older revision.
    pub from: u64,
    /// Newer revision.
    pub to: u64,
    /// Difference.
    pub lines: Vec<DiffLine>,
    /// Whether the history holds every change in between with all lines.
    pub is_complete: bool,
}

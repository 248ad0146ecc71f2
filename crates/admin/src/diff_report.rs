//! Response to `GET /admin/v1/diff`.

use fleet::DiffLine;
use serde::{Deserialize, Serialize};

/// Diff between two revisions of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DiffReport {
    /// Older revision.
    pub from: u64,
    /// Newer revision, or the largest number if the request named none.
    pub to: u64,
    /// Lines of the diff, joined from the diffs of the plans between the two revisions.
    pub lines: Vec<DiffLine>,
    /// Whether the history contains every change between the revisions with all its lines.
    pub is_complete: bool,
}

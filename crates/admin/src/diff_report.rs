//! Response to a request for a diff.

use fleet::DiffLine;
use serde::{Deserialize, Serialize};

/// Diff between two revisions of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DiffReport {
    /// Older revision.
    pub from: u64,
    /// Newer revision.
    pub to: u64,
    /// Lines of the diff.
    pub lines: Vec<DiffLine>,
    /// Whether the history contains every change between the revisions with all its lines.
    pub is_complete: bool,
}

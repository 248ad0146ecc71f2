//! Lines of a diff.

use serde::{Deserialize, Serialize};
use std::fmt::{Display, Formatter, Result as FmtResult};

/// One value that differs between two documents.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DiffLine {
    /// Path of the value, for example `accounts.borders.requests_per_s`.
    pub path: String,
    /// Value before the change; `None` if the change adds the value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<String>,
    /// Value after the change; `None` if the change removes the value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

impl Display for DiffLine {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.path),
            (Some(before), None) => write!(f, "- {}: {before}", self.path),
            (None, Some(after)) => write!(f, "+ {}: {after}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

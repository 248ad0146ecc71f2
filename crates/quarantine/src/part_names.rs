//! Identifiers of parts as text for logs.

use crate::part_id::PartId;
use std::fmt::{Display, Formatter, Result as FmtResult};

/// Largest number of parts that are named, which bounds log lines.
const MAX_NAMED_PARTS: usize = 8;

/// Displays the identifiers of the first parts, and the number of the others.
#[derive(Clone, Copy, Debug)]
pub struct PartNames<'a>(pub &'a [PartId]);

impl Display for PartNames<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        for (number, part) in self.0.iter().take(MAX_NAMED_PARTS).enumerate() {
            let separator = if number == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        match self.0.len().saturating_sub(MAX_NAMED_PARTS) {
            0 => Ok(()),
            others => write!(f, ",+{others}"),
        }
    }
}

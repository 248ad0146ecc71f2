//! Report that an engine answered a request without a crash.

use crate::part_id::PartId;
use serde::{Deserialize, Serialize};

/// Report that an engine answered a request with a part and did not crash.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Survival {
    pub part: PartId,
    /// Time since the answer.
    pub age_ms: u64,
}

//! Service-level objectives.

use serde::{Deserialize, Serialize};

/// Objectives of a service; a missing target is not reported on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Objectives {
    /// Requests answered well, in thousandths of a percent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub availability_millipct: Option<u32>,
    /// Window of the availability target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub availability_window_s: Option<u32>,
    /// Time to the first token or to the answer that 95 in 100 requests stay within.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_p95_ms: Option<u32>,
    /// Window of the latency target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_window_s: Option<u32>,
}

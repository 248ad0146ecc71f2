//! Service-level objectives.

use serde::{Deserialize, Serialize};

/// Availability and latency targets of a service. A target that is `None` does not appear in reports.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Objectives {
    /// Target share of successful requests, in thousandths of a percent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub availability_millipct: Option<u32>,
    /// Window of the availability target in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub availability_window_s: Option<u32>,
    /// Target of the 95th percentile of the time to the first token or to the answer, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_p95_ms: Option<u32>,
    /// Window of the latency target in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latency_window_s: Option<u32>,
}

//! Response to `GET /admin/v1/status`.

use crate::member::Member;
use serde::{Deserialize, Serialize};
use wire::platform::Vm;

/// State of the daemon that serves the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Active revision of the configuration at this daemon.
    pub revision: u64,
    /// Number of plans that had been confirmed at that revision.
    pub sequence: u64,
    /// Engines and instances of plain services that the daemon routes requests to.
    pub upstreams: Vec<Vm>,
    /// Daemons in the platform's list of VMs, or `None` if the platform does not answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub members: Option<Vec<Member>>,
}

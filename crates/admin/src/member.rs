//! Member of the fleet in a status response.

use base::{DomainName, VmId};
use serde::{Deserialize, Serialize};
use wire::platform::VmState;

/// Daemon in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Identifier of the daemon's VM.
    pub id: VmId,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// State of the VM in the platform's list.
    pub state: VmState,
}

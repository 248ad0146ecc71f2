//! Daemons in the response to a request for the status.

use base::{DomainName, VmId};
use serde::{Deserialize, Serialize};
use wire::platform::VmState;

/// Daemon that the platform's list of VMs contains.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Identifier of the daemon's VM.
    pub id: VmId,
    /// Failure domain that the VM is in.
    pub domain: DomainName,
    /// State of the VM in the platform's list.
    pub state: VmState,
}

//! Control message that changes a VM in the platform's list.

use serde::{Deserialize, Serialize};
use wire::platform::VmState;

/// New state or removal of the VM `id`; sent as the body of `PUT /control/vms/{id}`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmChange {
    /// New state; `null` removes the VM.
    pub state: Option<VmState>,
}

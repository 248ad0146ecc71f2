//! Daemon in the platform's list.

use base::{DomainName, VmId};
use serde::{Deserialize, Serialize};
use wire::platform::VmState;

/// Daemon in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// VM.
    pub id: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// State.
    pub state: VmState,
}

//! View of an entry's state for the other components of the daemon.

use crate::{config::Config, shared::Shared};
use base::{HashSet, ModelName, VersionName, VmId};
use burn::BurnDigest;
use std::{sync::Arc, time::Duration};
use wire::platform::Vm;

/// Read access to a running entry for the other components of the daemon.
#[derive(Clone, Debug)]
pub struct EntryView {
    shared: Arc<Shared>,
}

impl EntryView {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Active configuration; the empty default with revision 0 before the first document was applied.
    pub fn config(&self) -> Arc<Config> {
        self.shared.config()
    }

    /// Waits up to `wait_ms` for a configuration revision above `revision`, and returns the active revision.
    pub async fn wait_after(&self, revision: u64, wait_ms: u64) -> u64 {
        let mut config = self.shared.config.clone();
        let newer = config.wait_for(|config| config.revision > revision);
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), newer).await;
        self.config().revision
    }

    /// VMs of all upstreams in the latest list of VMs, sorted by VM identifier.
    pub fn upstreams(&self) -> Vec<Vm> {
        self.shared.upstreams.list()
    }

    /// Measured latencies and failures of the requests at this entry, in a form that can be merged with those of other
    /// entries.
    pub fn burn(&self) -> BurnDigest {
        self.shared.meters.digest()
    }

    /// Identifier, from the settings, of the VM that the entry runs on.
    pub fn vm_id(&self) -> &VmId {
        &self.shared.vm_id
    }

    /// Model versions that the generations running at this entry are pinned to.
    pub fn pinned(&self) -> HashSet<(ModelName, VersionName)> {
        self.shared.pins.pinned()
    }
}

//! What the rest of the daemon may see of an entry.

use crate::{config::Config, shared::Shared};
use base::{HashSet, ModelName, VersionName, VmId};
use burn::BurnDigest;
use std::{sync::Arc, time::Duration};
use wire::platform::Vm;

/// Read access to a running entry.
#[derive(Clone, Debug)]
pub struct EntryView {
    shared: Arc<Shared>,
}

impl EntryView {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.shared.config()
    }

    /// Waits up to `wait_ms` for a revision above `revision` and returns the one in force.
    pub async fn wait_after(&self, revision: u64, wait_ms: u64) -> u64 {
        let mut config = self.shared.config.clone();
        let newer = config.wait_for(|config| config.revision > revision);
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), newer).await;
        self.config().revision
    }

    /// Upstreams in the table, in order of their identifiers.
    pub fn upstreams(&self) -> Vec<Vm> {
        self.shared.upstreams.list()
    }

    /// Measurements of this entry's requests.
    pub fn burn(&self) -> BurnDigest {
        self.shared.meters.digest()
    }

    /// Identifier of the VM.
    pub fn vm_id(&self) -> &VmId {
        &self.shared.vm_id
    }

    /// Versions that generations running at this entry are pinned to.
    pub fn pinned(&self) -> HashSet<(ModelName, VersionName)> {
        self.shared.pins.pinned()
    }
}

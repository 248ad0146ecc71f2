//! The entry as the administration API sees it.

use admin::Daemon;
use base::{HashSet, KeyHash, ModelName, OperatorName, VersionName, VmId};
use burn::BurnDigest;
use entry::EntryView;
use fleet::{ConfigPosition, Document};
use wire::platform::Vm;

/// The entry as the administration API sees it.
#[derive(Clone, Debug)]
pub(crate) struct AdminView(pub EntryView);

impl Daemon for AdminView {
    fn in_force(&self) -> ConfigPosition {
        self.0.config().succession()
    }

    fn operator(&self, key_hash: &KeyHash) -> Option<OperatorName> {
        let config = self.0.config();
        config.document.operator_by_key(key_hash).map(|operator| operator.name.clone())
    }

    fn upstreams(&self) -> Vec<Vm> {
        self.0.upstreams()
    }

    fn pinned(&self) -> HashSet<(ModelName, VersionName)> {
        self.0.pinned()
    }

    fn vm_id(&self) -> VmId {
        self.0.vm_id().clone()
    }

    fn document(&self) -> Document {
        self.0.config().document.clone()
    }

    fn burn(&self) -> BurnDigest {
        self.0.burn()
    }

    async fn wait_after(&self, revision: u64, wait_ms: u64) -> u64 {
        self.0.wait_after(revision, wait_ms).await
    }
}

//! Connects the administration API to the entry (the daemon that serves callers) in this process.

use admin::Daemon;
use base::{HashSet, KeyHash, ModelName, OperatorName, VersionName, VmId};
use burn::BurnDigest;
use entry::EntryView;
use fleet::{ConfigPosition, Document};
use wire::platform::Vm;

/// Implements the administration API's `Daemon` for an entry.
#[derive(Clone, Debug)]
pub(crate) struct AdminAdapter(pub EntryView);

impl Daemon for AdminAdapter {
    fn active_position(&self) -> ConfigPosition {
        self.0.config().position()
    }

    fn operator_by_key(&self, key_hash: &KeyHash) -> Option<OperatorName> {
        let config = self.0.config();
        config.document.operator_by_key(key_hash).map(|operator| operator.name.clone())
    }

    fn upstreams(&self) -> Vec<Vm> {
        self.0.upstreams()
    }

    fn pinned_versions(&self) -> HashSet<(ModelName, VersionName)> {
        self.0.pinned()
    }

    fn vm_id(&self) -> VmId {
        self.0.vm_id().clone()
    }

    fn active_document(&self) -> Document {
        self.0.config().document.clone()
    }

    fn burn_digest(&self) -> BurnDigest {
        self.0.burn()
    }

    async fn wait_for_newer_revision(&self, revision: u64, wait_ms: u64) -> u64 {
        self.0.wait_after(revision, wait_ms).await
    }
}

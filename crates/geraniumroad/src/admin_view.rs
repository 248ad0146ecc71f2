//! The entry as the administration API sees it.

use admin::Daemon;
use base::{HashSet, KeyHash, ModelName, OperatorName, VersionName};
use entry::EntryView;
use fleet::Succession;
use wire::platform::Vm;

/// The entry as the administration API sees it.
#[derive(Clone, Debug)]
pub(crate) struct AdminView(pub EntryView);

impl Daemon for AdminView {
    fn in_force(&self) -> Succession {
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

    async fn wait_after(&self, revision: u64, wait_ms: u64) -> u64 {
        self.0.wait_after(revision, wait_ms).await
    }
}

//! What the administration API needs from the daemon that it runs in.

use base::{HashSet, KeyHash, ModelName, OperatorName, VersionName, VmId};
use burn::BurnDigest;
use fleet::{ConfigPosition, Document};
use wire::platform::Vm;

/// Daemon that serves the administration API.
pub trait Daemon: Send + Sync + 'static {
    /// Position of the configuration in force.
    fn active_position(&self) -> ConfigPosition;

    /// Operator with a key in the configuration in force.
    fn operator_by_key(&self, key_hash: &KeyHash) -> Option<OperatorName>;

    /// Upstreams in the table.
    fn upstreams(&self) -> Vec<Vm>;

    /// Versions that running generations are pinned to.
    fn pinned_versions(&self) -> HashSet<(ModelName, VersionName)>;

    /// Identifier of its VM.
    fn vm_id(&self) -> VmId;

    /// Configuration in force.
    fn active_document(&self) -> Document;

    /// Measurements of its requests.
    fn burn_digest(&self) -> BurnDigest;

    /// Waits up to `wait_ms` for a revision above `revision` and returns the one in force.
    fn wait_for_newer_revision(
        &self,
        revision: u64,
        wait_ms: u64,
    ) -> impl Future<Output = u64> + Send;
}

//! Interface of the administration API to its daemon.

use base::{HashSet, KeyHash, ModelName, OperatorName, VersionName, VmId};
use burn::BurnDigest;
use fleet::{ConfigPosition, Document};
use wire::platform::Vm;

/// Access to the daemon that the administration API runs in.
pub trait Daemon: Send + Sync + 'static {
    /// Returns the revision and the sequence number of the active configuration.
    fn active_position(&self) -> ConfigPosition;

    /// Returns the operator with this key in the active configuration.
    fn operator_by_key(&self, key_hash: &KeyHash) -> Option<OperatorName>;

    /// Returns the upstreams in the routing table.
    fn upstreams(&self) -> Vec<Vm>;

    /// Returns the versions that running generations are pinned to.
    fn pinned_versions(&self) -> HashSet<(ModelName, VersionName)>;

    /// Returns the identifier of the daemon's VM.
    fn vm_id(&self) -> VmId;

    /// Returns the active configuration.
    fn active_document(&self) -> Document;

    /// Returns the measurements of the requests to this daemon.
    fn burn_digest(&self) -> BurnDigest;

    /// Waits up to `wait_ms` until a revision above `revision` is active and returns the active revision.
    fn wait_for_newer_revision(
        &self,
        revision: u64,
        wait_ms: u64,
    ) -> impl Future<Output = u64> + Send;
}

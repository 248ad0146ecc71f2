//! Interface through which the administration API reads the state of the daemon that it runs in.

use base::{HashSet, KeyHash, ModelName, OperatorName, VersionName, VmId};
use burn::BurnDigest;
use fleet::{ConfigPosition, Document};
use wire::platform::Vm;

/// Access to the daemon that the administration API runs in.
pub trait Daemon: Send + Sync + 'static {
    /// Returns the revision and the sequence number of the active configuration.
    fn active_position(&self) -> ConfigPosition;

    /// Returns the operator whose key has this hash, or `None` if the active configuration contains no such operator.
    fn operator_by_key(&self, key_hash: &KeyHash) -> Option<OperatorName>;

    /// Returns the engines and instances of plain services that the daemon routes requests to.
    fn upstreams(&self) -> Vec<Vm>;

    /// Returns the model versions that running generations are pinned to.
    fn pinned_versions(&self) -> HashSet<(ModelName, VersionName)>;

    /// Returns the identifier of the daemon's VM.
    fn vm_id(&self) -> VmId;

    /// Returns the active configuration.
    fn active_document(&self) -> Document;

    /// Returns the counts and durations of the requests to this daemon.
    fn burn_digest(&self) -> BurnDigest;

    /// Waits until a revision above `revision` is active, but at most `wait_ms`. Returns the revision that is active
    /// then, which is not above `revision` if the wait was too short.
    fn wait_for_newer_revision(
        &self,
        revision: u64,
        wait_ms: u64,
    ) -> impl Future<Output = u64> + Send;
}

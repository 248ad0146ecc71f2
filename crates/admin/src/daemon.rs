//! What the administration API needs from the daemon that it runs in.

use base::{HashSet, KeyHash, ModelName, OperatorName, VersionName, VmId};
use burn::BurnDigest;
use fleet::{ConfigPosition, Document};
use wire::platform::Vm;

/// Daemon that serves the administration API.
pub trait Daemon: Send + Sync + 'static {
    /// Position of the configuration in force.
    fn in_force(&self) -> ConfigPosition;

    /// Operator with a key in the configuration in force.
    fn operator(&self, key_hash: &KeyHash) -> Option<OperatorName>;

    /// Upstreams in the table.
    fn upstreams(&self) -> Vec<Vm>;

    /// Versions that running generations are pinned to.
    fn pinned(&self) -> HashSet<(ModelName, VersionName)>;

    /// Identifier of its VM.
    fn vm_id(&self) -> VmId;

    /// Configuration in force.
    fn document(&self) -> Document;

    /// Measurements of its requests.
    fn burn(&self) -> BurnDigest;

    /// Waits up to `wait_ms` for a revision above `revision` and returns the one in force.
    fn wait_after(&self, revision: u64, wait_ms: u64) -> impl Future<Output = u64> + Send;
}

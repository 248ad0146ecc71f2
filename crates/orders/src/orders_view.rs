//! What the orders need from the daemon that they run in.

use base::{HashSet, ModelName, VersionName};
use fleet::Document;
use wire::platform::Vm;

/// Versions that running generations of the whole fleet are pinned to; `None` if an entry's part is unknown.
pub type PinnedVersions = Option<HashSet<(ModelName, VersionName)>>;

/// Daemon that sends orders.
pub trait OrdersView: Send + Sync + 'static {
    /// Configuration in force; `None` before the first one.
    fn document(&self) -> Option<Document>;

    /// Upstreams in the table.
    fn upstreams(&self) -> Vec<Vm>;

    /// Versions that generations at any entry are pinned to. `None` keeps every version loaded.
    fn pinned_versions(&self) -> PinnedVersions;
}

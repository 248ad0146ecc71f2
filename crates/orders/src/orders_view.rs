//! State of the daemon that the orders depend on.

use base::{HashSet, ModelName, VersionName};
use fleet::Document;
use wire::platform::Vm;

/// Versions that running generations of the whole fleet are pinned to. `None` if the pins of any entry are unknown.
pub type PinnedVersions = Option<HashSet<(ModelName, VersionName)>>;

/// Access to the configuration, upstreams and pins that the daemon knows.
pub trait OrdersView: Send + Sync + 'static {
    /// Returns the active configuration, or `None` before the first one.
    fn document(&self) -> Option<Document>;

    /// Returns the upstreams in the routing table.
    fn upstreams(&self) -> Vec<Vm>;

    /// Returns the versions that generations at any entry are pinned to. While the result is `None`, every version
    /// stays loaded.
    fn pinned_versions(&self) -> PinnedVersions;
}

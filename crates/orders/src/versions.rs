//! Versions in an engine as a map.

use std::collections::{BTreeMap, BTreeSet};
use wire::engine::{EngineState, LoadedVersion};

/// Adapters of each model version.
pub(crate) type Versions = BTreeMap<(String, String), BTreeSet<String>>;

/// Versions that an engine has or is loading; `None` if it serves every version.
pub(crate) fn present(state: &EngineState) -> Option<Versions> {
    let mut versions = Versions::new();
    for version in state.loaded.as_ref()?.iter().chain(&state.loading) {
        let key = (version.model.clone(), version.version.clone());
        versions.entry(key).or_default().extend(version.adapters.iter().cloned());
    }
    Some(versions)
}

/// Versions that an engine serves already; `None` if it serves every version.
pub(crate) fn serves(state: &EngineState, model: &str, version: &str) -> bool {
    state.loaded.as_ref().is_none_or(|loaded| {
        loaded.iter().any(|entry| entry.model == model && entry.version == version)
    })
}

/// Versions in the shape of an order.
pub(crate) fn listed(versions: &Versions) -> Vec<LoadedVersion> {
    let entry =
        |((model, version), adapters): (&(String, String), &BTreeSet<String>)| LoadedVersion {
            model: model.clone(),
            version: version.clone(),
            adapters: adapters.iter().cloned().collect(),
        };
    versions.iter().map(entry).collect()
}

//! Loaded versions of an engine, converted between lists of the engine API and maps.

use std::collections::{BTreeMap, BTreeSet};
use wire::engine::{EngineState, LoadedVersion};

/// Adapters of each pair of model and version.
pub(crate) type Versions = BTreeMap<(String, String), BTreeSet<String>>;

/// Returns the versions that an engine has loaded or is loading, or `None` if it serves every version.
pub(crate) fn loaded_or_loading(state: &EngineState) -> Option<Versions> {
    let mut versions = Versions::new();
    for version in state.loaded.as_ref()?.iter().chain(&state.loading) {
        let key = (version.model.clone(), version.version.clone());
        versions.entry(key).or_default().extend(version.adapters.iter().cloned());
    }
    Some(versions)
}

/// Returns whether an engine serves a version. An engine that doesn't list its loaded versions serves every version.
pub(crate) fn serves(state: &EngineState, model: &str, version: &str) -> bool {
    state.loaded.as_ref().is_none_or(|loaded| {
        loaded.iter().any(|loaded| loaded.model == model && loaded.version == version)
    })
}

/// Converts versions to the form that an order has.
pub(crate) fn to_loaded_versions(versions: &Versions) -> Vec<LoadedVersion> {
    let to_loaded_version =
        |((model, version), adapters): (&(String, String), &BTreeSet<String>)| LoadedVersion {
            model: model.clone(),
            version: version.clone(),
            adapters: adapters.iter().cloned().collect(),
        };
    versions.iter().map(to_loaded_version).collect()
}

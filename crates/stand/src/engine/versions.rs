//! Loads and unloads model versions and adapters of an engine as orders say.

use wire::engine::{EngineRequest, LoadedVersion};

/// Model versions that are loaded or being loaded.
#[derive(Debug)]
pub(super) struct Versions {
    /// Loaded versions; `None` accepts requests for every version, until the first order to load or unload one.
    pub loaded: Option<Vec<LoadedVersion>>,
    /// Versions whose weights are being transferred.
    pub loading: Vec<LoadedVersion>,
}

impl Versions {
    pub fn new(loaded: Option<Vec<LoadedVersion>>) -> Self {
        Self { loaded, loading: Vec::new() }
    }

    /// Returns whether the version and the adapter of a request are loaded.
    pub fn can_serve(&self, request: &EngineRequest) -> bool {
        let Some(loaded) = &self.loaded else { return true };
        let version = loaded
            .iter()
            .find(|version| version.model == request.model && version.version == request.version);
        version.is_some_and(|version| {
            request.adapter.is_empty() || version.adapters.contains(&request.adapter)
        })
    }

    /// Marks `wanted` as being loaded, except for adapters that are loaded or being loaded already. Returns what has to
    /// be transferred, or `None` if that is nothing.
    pub fn begin_loading(&mut self, wanted: &LoadedVersion) -> Option<LoadedVersion> {
        self.loaded.get_or_insert_default();
        let known = |versions: &[LoadedVersion]| {
            versions.iter().find(|version| is_same_version(version, wanted)).cloned()
        };
        let known: Vec<LoadedVersion> =
            [known(self.loaded.as_deref().unwrap_or_default()), known(&self.loading)]
                .into_iter()
                .flatten()
                .collect();
        let adapters: Vec<String> = wanted
            .adapters
            .iter()
            .filter(|adapter| !known.iter().any(|version| version.adapters.contains(adapter)))
            .cloned()
            .collect();
        if !known.is_empty() && adapters.is_empty() {
            return None;
        }
        let missing = LoadedVersion { adapters, ..wanted.clone() };
        add(&mut self.loading, &missing);
        Some(missing)
    }

    /// Marks `transferred`, a result of `begin_loading`, as loaded, except for what an order has unloaded in the
    /// meantime: the whole version or some of its adapters.
    pub fn finish_loading(&mut self, transferred: &LoadedVersion) {
        let Some(loading) =
            self.loading.iter().find(|version| is_same_version(version, transferred))
        else {
            return;
        };
        let mut added = transferred.clone();
        added.adapters.retain(|adapter| loading.adapters.contains(adapter));
        remove_adapters(&mut self.loading, transferred);
        add(self.loaded.get_or_insert_default(), &added);
    }

    /// Unloads a version, or only its adapters in `unwanted` if any are listed there.
    pub fn unload(&mut self, unwanted: &LoadedVersion) {
        let loaded = self.loaded.get_or_insert_default();
        for versions in [loaded, &mut self.loading] {
            if unwanted.adapters.is_empty() {
                versions.retain(|version| !is_same_version(version, unwanted));
            } else {
                for version in
                    versions.iter_mut().filter(|version| is_same_version(version, unwanted))
                {
                    version.adapters.retain(|adapter| !unwanted.adapters.contains(adapter));
                }
            }
        }
    }

    /// Unloads all versions and adapters that are not in `wanted`.
    pub fn keep_only(&mut self, wanted: &[LoadedVersion]) {
        let loaded = self.loaded.get_or_insert_default();
        for versions in [loaded, &mut self.loading] {
            versions.retain_mut(|version| {
                let kept = wanted.iter().find(|wanted| is_same_version(wanted, version));
                if let Some(kept) = kept {
                    version.adapters.retain(|adapter| kept.adapters.contains(adapter));
                }
                kept.is_some()
            });
        }
    }
}

fn is_same_version(one: &LoadedVersion, other: &LoadedVersion) -> bool {
    one.model == other.model && one.version == other.version
}

fn add(versions: &mut Vec<LoadedVersion>, added: &LoadedVersion) {
    match versions.iter_mut().find(|version| is_same_version(version, added)) {
        Some(version) => version.adapters.extend_from_slice(&added.adapters),
        None => versions.push(added.clone()),
    }
}

/// Removes the adapters of `removed` from its version in `versions`, and also the version if no adapters remain.
fn remove_adapters(versions: &mut Vec<LoadedVersion>, removed: &LoadedVersion) {
    versions.retain_mut(|version| {
        if !is_same_version(version, removed) {
            return true;
        }
        version.adapters.retain(|adapter| !removed.adapters.contains(adapter));
        !version.adapters.is_empty()
    });
}

//! Model versions in an engine.

use wire::engine::{EngineRequest, LoadedVersion};

/// Versions that are loaded and that are being loaded.
#[derive(Debug)]
pub(super) struct Versions {
    /// Versions that requests may use; `None` accepts every version until the first order about versions.
    pub loaded: Option<Vec<LoadedVersion>>,
    /// Versions whose weights are on their way.
    pub loading: Vec<LoadedVersion>,
}

impl Versions {
    pub fn new(loaded: Option<Vec<LoadedVersion>>) -> Self {
        Self { loaded, loading: Vec::new() }
    }

    /// Whether a request can be served.
    pub fn serves(&self, request: &EngineRequest) -> bool {
        let Some(loaded) = &self.loaded else { return true };
        let version = loaded
            .iter()
            .find(|version| version.model == request.model && version.version == request.version);
        version.is_some_and(|version| {
            request.adapter.is_empty() || version.adapters.contains(&request.adapter)
        })
    }

    /// Parts of `wanted` that are neither loaded nor being loaded; they count as being loaded from now on.
    pub fn begin(&mut self, wanted: &LoadedVersion) -> Option<LoadedVersion> {
        self.loaded.get_or_insert_default();
        let known = |versions: &[LoadedVersion]| {
            versions.iter().find(|version| is_same(version, wanted)).cloned()
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

    /// Marks what `begin` returned as loaded, unless an order has unloaded it since.
    pub fn finish(&mut self, transferred: &LoadedVersion) {
        let Some(loading) = self.loading.iter().find(|version| is_same(version, transferred))
        else {
            return;
        };
        let mut arrived = transferred.clone();
        arrived.adapters.retain(|adapter| loading.adapters.contains(adapter));
        remove_adapters(&mut self.loading, transferred);
        add(self.loaded.get_or_insert_default(), &arrived);
    }

    /// Unloads a version, or only its given adapters.
    pub fn unload(&mut self, unwanted: &LoadedVersion) {
        let loaded = self.loaded.get_or_insert_default();
        for versions in [loaded, &mut self.loading] {
            if unwanted.adapters.is_empty() {
                versions.retain(|version| !is_same(version, unwanted));
            } else {
                for version in versions.iter_mut().filter(|version| is_same(version, unwanted)) {
                    version.adapters.retain(|adapter| !unwanted.adapters.contains(adapter));
                }
            }
        }
    }

    /// Unloads everything that is not in `wanted`.
    pub fn keep_only(&mut self, wanted: &[LoadedVersion]) {
        let loaded = self.loaded.get_or_insert_default();
        for versions in [loaded, &mut self.loading] {
            versions.retain_mut(|version| {
                let kept = wanted.iter().find(|wanted| is_same(wanted, version));
                if let Some(kept) = kept {
                    version.adapters.retain(|adapter| kept.adapters.contains(adapter));
                }
                kept.is_some()
            });
        }
    }
}

fn is_same(one: &LoadedVersion, other: &LoadedVersion) -> bool {
    one.model == other.model && one.version == other.version
}

fn add(versions: &mut Vec<LoadedVersion>, added: &LoadedVersion) {
    match versions.iter_mut().find(|version| is_same(version, added)) {
        Some(version) => version.adapters.extend_from_slice(&added.adapters),
        None => versions.push(added.clone()),
    }
}

/// Removes the adapters of `removed`, and the version when none of its adapters is left.
fn remove_adapters(versions: &mut Vec<LoadedVersion>, removed: &LoadedVersion) {
    versions.retain_mut(|version| {
        if !is_same(version, removed) {
            return true;
        }
        version.adapters.retain(|adapter| !removed.adapters.contains(adapter));
        !version.adapters.is_empty()
    });
}

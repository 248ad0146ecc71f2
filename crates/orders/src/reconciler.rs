//! Reconciliation of the engines with the configuration.

use crate::{
    engine_command::EngineCommand,
    engine_view::{EngineView, PendingLoad},
    load_pacing::LoadPacing,
    orders_view::PinnedVersions,
    roles::wanted_roles,
    serving_record::ServingRecord,
    versions::{Versions, loaded_or_loading, serves, to_loaded_versions},
};
use base::{HashMap, ModelName, ServiceName, VersionName, VmId};
use fleet::{Document, Model};
use std::collections::{BTreeMap, BTreeSet};
use wire::engine::{EngineRole, EngineState, OrderAction};

/// Compares the engines of one service with the configuration and returns the orders that they need.
///
/// A daemon that becomes the holder of the service's lease creates a new reconciler, which knows nothing about the
/// engines. Every engine counts as a load until its state has been read or a timeout has passed, so that the loads of
/// the new holder and those that its predecessor ordered together stay within the pacing.
#[derive(Clone, Debug)]
pub struct Reconciler {
    service: ServiceName,
    pacing: LoadPacing,
    engines: BTreeMap<VmId, EngineView>,
    /// Version that new generations of each model use.
    serving: BTreeMap<ModelName, VersionName>,
    /// Time since which each unused version has had no pinned generations.
    unpinned_since_ms: HashMap<(ModelName, VersionName), u64>,
    /// Earliest time of the next order that loads.
    next_load_ms: u64,
}

impl Reconciler {
    /// Creates a reconciler that continues with the versions that the predecessor chose for new generations.
    pub fn new(
        service: &ServiceName,
        pacing: LoadPacing,
        record: Option<&ServingRecord>,
        now_ms: u64,
    ) -> Self {
        Self {
            service: service.clone(),
            pacing,
            engines: BTreeMap::new(),
            serving: record
                .map(|record| record.models.iter().cloned().collect())
                .unwrap_or_default(),
            unpinned_since_ms: HashMap::default(),
            next_load_ms: now_ms,
        }
    }

    /// Replaces the list of the service's engines. A new engine counts as a load until it is read, for at most
    /// `LoadPacing::unknown_timeout_ms`.
    pub fn set_engines(&mut self, engines: &[VmId], now_ms: u64) {
        self.engines.retain(|engine, _| engines.contains(engine));
        for engine in engines {
            let unknown_until_ms = now_ms + self.pacing.unknown_timeout_ms;
            self.engines
                .entry(engine.clone())
                .or_insert_with(|| EngineView::unknown(unknown_until_ms));
        }
    }

    /// Records the answer of an engine to `GET /state`; `state` is `None` if there was no usable answer.
    pub fn observe(&mut self, engine: &VmId, state: Option<EngineState>, now_ms: u64) {
        let Some(view) = self.engines.get_mut(engine) else { return };
        match state {
            Some(state) => view.observe(state, now_ms),
            None => view.mark_unreadable(now_ms + self.pacing.unknown_timeout_ms),
        }
    }

    /// Returns the orders that bring the engines closer to the desired state. A load counts against the pacing as soon
    /// as its order is returned.
    pub fn commands(
        &mut self,
        document: &Document,
        pinned: &PinnedVersions,
        now_ms: u64,
    ) -> Vec<EngineCommand> {
        self.choose_serving(document);
        self.update_unpinned_since(document, pinned, now_ms);
        let known: Vec<(VmId, EngineRole)> = self
            .engines
            .iter()
            .filter_map(|(id, view)| Some((id.clone(), view.state.as_ref()?.role)))
            .collect();
        let roles = wanted_roles(document, &self.service, &known);
        let mut commands = Vec::new();
        for (engine, role) in known {
            let mut actions = Vec::new();
            if let Some(versions) = self.order_versions(&engine, document, pinned, now_ms) {
                actions.push(OrderAction::SetLoaded { versions: to_loaded_versions(&versions) });
            }
            if let Some(&wanted) = roles.get(&engine).filter(|&&wanted| wanted != role) {
                actions.push(OrderAction::SetRole { role: wanted });
            }
            if !actions.is_empty() {
                commands.push(EngineCommand { engine, actions });
            }
        }
        commands
    }

    /// Returns the versions that new generations use, as a record for the platform.
    pub fn serving_record(&self, fencing_token: u64) -> ServingRecord {
        let models = self.serving.iter().map(|(model, version)| (model.clone(), version.clone()));
        ServingRecord { fencing_token, models: models.collect() }
    }

    /// Returns the versions to order for an engine; `None` if the engine already has them, if a load of it is pending,
    /// or if it doesn't report its versions. A load is added only if the pacing allows it.
    fn order_versions(
        &mut self,
        engine: &VmId,
        document: &Document,
        pinned: &PinnedVersions,
        now_ms: u64,
    ) -> Option<Versions> {
        let view = self.engines.get(engine)?;
        if view.pending.as_ref().is_some_and(|pending| now_ms < pending.until_ms) {
            return None;
        }
        let current = loaded_or_loading(view.state.as_ref()?)?;
        let target = self.target_versions(document, pinned, &current, now_ms);
        // Start without loads, with the versions and adapters that the engine has and keeps.
        let mut order: Versions = Versions::new();
        for (key, adapters) in &current {
            if let Some(wanted) = target.get(key) {
                let kept = adapters.intersection(wanted).cloned().collect();
                order.insert(key.clone(), kept);
            }
        }
        let missing = target.iter().find(|(key, adapters)| order.get(*key) != Some(adapters));
        let may_load = !view.may_be_loading(now_ms) && now_ms >= self.next_load_ms;
        if let Some((key, adapters)) = missing
            && may_load
            && self.loading_count(now_ms) < self.pacing.max_loads
        {
            order.insert(key.clone(), adapters.clone());
            self.next_load_ms = now_ms + self.pacing.load_interval_ms;
            let until_ms = now_ms + self.pacing.pending_timeout_ms;
            let pending = PendingLoad { target: order.clone(), until_ms };
            self.engines.get_mut(engine)?.pending = Some(pending);
        }
        (order != current).then_some(order)
    }

    /// Returns the number of engines that may be loading.
    fn loading_count(&self, now_ms: u64) -> usize {
        self.engines.values().filter(|view| view.may_be_loading(now_ms)).count()
    }

    /// Returns the versions that an engine with the versions `current` should have.
    fn target_versions(
        &self,
        document: &Document,
        pinned: &PinnedVersions,
        current: &Versions,
        now_ms: u64,
    ) -> Versions {
        let mut target = Versions::new();
        for model in self.models(document) {
            let adapters: BTreeSet<String> = model.adapters.iter().cloned().collect();
            let serving = self.serving.get(&model.name);
            for version in std::iter::once(&model.version).chain(&model.older_versions) {
                let key = (model.name.to_string(), version.to_string());
                let pin = (model.name.clone(), version.clone());
                let is_pinned = pinned.as_ref().is_some_and(|pinned| pinned.contains(&pin));
                let is_used = *version == model.version || serving == Some(version) || is_pinned;
                if is_used || (current.contains_key(&key) && self.is_kept(&pin, now_ms)) {
                    target.insert(key, adapters.clone());
                }
            }
        }
        for (key, adapters) in current {
            let name = ModelName::try_from(key.0.as_str());
            let (Ok(model), Ok(version)) = (name, VersionName::try_from(key.1.as_str())) else {
                continue;
            };
            if self.is_kept(&(model, version), now_ms) {
                target.entry(key.clone()).or_insert_with(|| adapters.clone());
            }
        }
        target
    }

    /// Returns whether generations may still need a version: generations are pinned to it, or
    /// `LoadPacing::unload_delay_ms` has not passed since the last of them ended.
    fn is_kept(&self, pin: &(ModelName, VersionName), now_ms: u64) -> bool {
        let since_ms = self.unpinned_since_ms.get(pin);
        since_ms.is_none_or(|since_ms| now_ms < since_ms + self.pacing.unload_delay_ms)
    }

    /// Updates since when each version has had no pinned generations. The time starts again whenever the pins are
    /// unknown or new generations use the version.
    fn update_unpinned_since(&mut self, document: &Document, pinned: &PinnedVersions, now_ms: u64) {
        let Some(pinned) = pinned else {
            self.unpinned_since_ms.clear();
            return;
        };
        let mut unused = HashMap::default();
        for pin in self.known_versions(document) {
            let is_serving = self.serving.get(&pin.0) == Some(&pin.1)
                && document.model(&pin.0).is_some_and(|model| model.has_version(&pin.1));
            if !is_serving && !pinned.contains(&pin) {
                let since_ms = self.unpinned_since_ms.get(&pin).copied().unwrap_or(now_ms);
                unused.insert(pin, since_ms);
            }
        }
        self.unpinned_since_ms = unused;
    }

    /// Returns the older versions of the configuration and all versions that engines report.
    fn known_versions(&self, document: &Document) -> BTreeSet<(ModelName, VersionName)> {
        let mut versions = BTreeSet::new();
        for model in self.models(document) {
            versions.extend(model.older_versions.iter().map(|v| (model.name.clone(), v.clone())));
        }
        for state in self.engines.values().filter_map(|view| view.state.as_ref()) {
            for (model, version) in loaded_or_loading(state).unwrap_or_default().into_keys() {
                if let (Ok(model), Ok(version)) =
                    (ModelName::try_from(model), VersionName::try_from(version))
                {
                    versions.insert((model, version));
                }
            }
        }
        versions
    }

    /// Chooses the versions for new generations: the configured one as soon as enough engines serve it, otherwise the
    /// previous choice or an older version that enough engines serve.
    fn choose_serving(&mut self, document: &Document) {
        let mut serving = BTreeMap::new();
        for model in self.models(document) {
            let previous =
                self.serving.get(&model.name).filter(|version| model.has_version(version));
            let version = if self.is_rolled_out(model, &model.version) {
                &model.version
            } else {
                let mut older = model.older_versions.iter().rev();
                let rolled_out = || older.find(|version| self.is_rolled_out(model, version));
                previous.or_else(rolled_out).unwrap_or(&model.version)
            };
            serving.insert(model.name.clone(), version.clone());
        }
        self.serving = serving;
    }

    /// Returns whether at least `LoadPacing::shift_pct` percent of the readable engines serve a version. At least half
    /// of all engines must be readable.
    fn is_rolled_out(&self, model: &Model, version: &VersionName) -> bool {
        let known: Vec<_> = self.engines.values().filter_map(|view| view.state.as_ref()).collect();
        let serving = known
            .iter()
            .filter(|state| serves(state, model.name.as_str(), version.as_str()))
            .count();
        serving > 0
            && known.len() * 2 >= self.engines.len()
            && serving * 100 >= known.len() * self.pacing.shift_pct
    }

    /// Returns the models in the document that engines of this service run.
    fn models<'d>(&self, document: &'d Document) -> impl Iterator<Item = &'d Model> {
        let service = self.service.clone();
        document.models.iter().filter(move |model| model.service == service)
    }
}

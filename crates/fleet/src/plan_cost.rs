//! Estimates of the engine loads and drains that a plan causes.

use crate::{document::Document, plan_context::PlanContext};
use base::ServiceName;
use serde::{Deserialize, Serialize};
use std::fmt::{Display, Formatter, Result as FmtResult};

/// Estimated cost of a plan on engines and at the weight store.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlanCost {
    /// Number of loads of versions and adapters, summed over the engines.
    pub loads: u32,
    /// Number of engines that are drained because a version is removed or the roles change.
    pub drains: u32,
    /// Time at the weight store in milliseconds if loads run one after another.
    pub weight_store_ms: u64,
}

impl PlanCost {
    /// Estimates the cost of the change from `before` to `after`.
    pub fn of(before: &Document, after: &Document, context: &PlanContext) -> Self {
        let engines = |name: &ServiceName| context.engines.get(name).copied().unwrap_or(0);
        let mut cost = Self::default();
        for model in &after.models {
            let count = engines(&model.service);
            let old = before.model(&model.name);
            let versions = std::iter::once(&model.version).chain(&model.older_versions);
            let new_versions =
                versions.filter(|version| !old.is_some_and(|old| old.has_version(version)));
            let new_adapters = model
                .adapters
                .iter()
                .filter(|adapter| !old.is_some_and(|old| old.adapters.contains(adapter)));
            let new_items = new_versions.count() + new_adapters.count();
            let new_items = u32::try_from(new_items).unwrap_or(u32::MAX);
            cost.loads = cost.loads.saturating_add(count.saturating_mul(new_items));
            if old.is_some_and(|old| old.roles != model.roles) {
                cost.drains = cost.drains.saturating_add(count);
            }
        }
        for model in &before.models {
            let loses_version = match after.model(&model.name) {
                Some(new) => model.older_versions.iter().any(|older| !new.has_version(older)),
                None => true,
            };
            if loses_version {
                cost.drains = cost.drains.saturating_add(engines(&model.service));
            }
        }
        cost.weight_store_ms = u64::from(cost.loads).saturating_mul(context.weight_load_ms);
        cost
    }
}

impl Display for PlanCost {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        let Self { loads, drains, weight_store_ms } = self;
        write!(f, "{loads} loads, {drains} drains, {weight_store_ms} ms at the weight store")
    }
}

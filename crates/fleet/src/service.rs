//! Service that requests are routed to.

use crate::{
    call_rules::CallRules, objectives::Objectives, order_checks::OrderChecks,
    queue_limits::QueueLimits,
};
use base::ServiceName;
use serde::{Deserialize, Serialize};

/// Kind of upstreams behind a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines.
    Generation,
    /// Plain HTTP servers.
    Plain,
}

/// Preset of the recovery policy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Preset {
    /// Little extra engine work.
    Economy,
    /// Low resume latency.
    #[default]
    Latency,
}

/// A service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Kind of its upstreams.
    pub kind: ServiceKind,
    /// Recovery preset of its generations.
    #[serde(default)]
    pub preset: Preset,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Objectives,
    /// Limits of its queue.
    #[serde(default)]
    pub queue: QueueLimits,
    /// What its upstreams check before they follow an order.
    #[serde(default)]
    pub orders: OrderChecks,
    /// Rules for its calls; plain services only.
    #[serde(default)]
    pub calls: CallRules,
}

impl Service {
    /// Service with default settings.
    pub fn new(name: &ServiceName, kind: ServiceKind) -> Self {
        Self {
            name: name.clone(),
            kind,
            preset: Preset::default(),
            objectives: Objectives::default(),
            queue: QueueLimits::default(),
            orders: OrderChecks::default(),
            calls: CallRules::default(),
        }
    }
}

//! Services that requests are routed to.

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
    /// Minimizes the extra work of engines.
    Economy,
    /// Minimizes the latency of resumes.
    #[default]
    Latency,
}

/// Service with its objectives, limits and rules.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Unique name of the service.
    pub name: ServiceName,
    /// Kind of the upstreams behind the service.
    pub kind: ServiceKind,
    /// Preset of the recovery policy for its generations.
    #[serde(default)]
    pub preset: Preset,
    /// Availability and latency targets.
    #[serde(default)]
    pub objectives: Objectives,
    /// Limits of the queue that each entry has for the service.
    #[serde(default)]
    pub queue: QueueLimits,
    /// Checks that the upstreams make before they follow an order.
    #[serde(default)]
    pub orders: OrderChecks,
    /// Retry and timeout rules for calls of the service. They apply to plain services only.
    #[serde(default)]
    pub calls: CallRules,
}

impl Service {
    /// Creates a service with default settings.
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

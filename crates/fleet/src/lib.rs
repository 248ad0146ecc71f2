//! Fleet configuration document: what operators define, and how plans change it.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod account;
mod apply;
mod call_rules;
mod confirmed_plan;
mod diff;
mod diff_line;
mod document;
mod document_error;
mod engine_role;
mod intent;
mod intent_error;
mod intent_text;
mod model;
mod objectives;
mod operator;
mod order_behaviour;
mod plan;
mod plan_context;
mod plan_cost;
mod plan_error;
mod planned_intent;
mod queue_limits;
mod service;
mod succession;

pub use crate::{
    account::Account,
    call_rules::CallRules,
    confirmed_plan::{ConfirmedPlan, RECENT_PLANS},
    diff::{diff, join},
    diff_line::DiffLine,
    document::{DOCUMENT_SIZE_BYTES, Document},
    document_error::DocumentError,
    engine_role::{EngineRole, RoleCount},
    intent::{AccountIntent, Intent, ServiceIntent},
    intent_error::IntentError,
    intent_text::parse_intent,
    model::Model,
    objectives::Objectives,
    operator::Operator,
    order_behaviour::OrderBehaviour,
    plan::{PLAN_LIFE_MS, Plan},
    plan_context::PlanContext,
    plan_cost::PlanCost,
    plan_error::PlanError,
    planned_intent::PlannedIntent,
    queue_limits::QueueLimits,
    service::{Preset, Service, ServiceKind},
    succession::Succession,
};

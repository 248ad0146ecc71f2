//! Fleet configuration: the document that operators define, and the plans that change it.
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
mod config_position;
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
mod order_checks;
mod plan;
mod plan_context;
mod plan_cost;
mod plan_error;
mod planned_intent;
mod queue_limits;
mod service;

pub use crate::{
    account::Account,
    call_rules::CallRules,
    config_position::ConfigPosition,
    confirmed_plan::{ConfirmedPlan, MAX_RECENT_PLANS},
    diff::{diff, join_diffs},
    diff_line::DiffLine,
    document::{Document, MAX_DOCUMENT_BYTES},
    document_error::DocumentError,
    engine_role::{EngineRole, RoleCount},
    intent::{AccountIntent, Intent, ServiceIntent},
    intent_error::IntentError,
    intent_text::parse_intent,
    model::Model,
    objectives::Objectives,
    operator::Operator,
    order_checks::OrderChecks,
    plan::{PLAN_LIFETIME_MS, Plan},
    plan_context::PlanContext,
    plan_cost::PlanCost,
    plan_error::PlanError,
    planned_intent::PlannedIntent,
    queue_limits::QueueLimits,
    service::{Preset, Service, ServiceKind},
};

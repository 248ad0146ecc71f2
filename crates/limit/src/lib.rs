//! Account shares, bounded queues with deadlines, class reserve and retry budget: state without sockets or clocks.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod account_rate_limit;
mod account_rate_limiter;
mod admission_decision;
mod admission_queue;
mod admission_queue_limits;
mod bucket;
mod class;
mod demand;
mod digest;
mod peer_demand;
mod retry_budget;
mod retry_budgets;

pub use crate::{
    account_rate_limit::AccountRateLimit,
    account_rate_limiter::AccountRateLimiter,
    admission_decision::AdmissionDecision,
    admission_queue::AdmissionQueue,
    admission_queue_limits::AdmissionQueueLimits,
    class::Class,
    digest::UsageDigest,
    retry_budget::{RetryBudget, RetryBudgetLimits, Urgency},
    retry_budgets::RetryBudgets,
};

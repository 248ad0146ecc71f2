//! Admission control: rate limits of client accounts and of upstreams, bounded queues with deadlines, and retry
//! budgets.
//!
//! An entry is a process that accepts client requests. A client account may use all entries at the same time, so its
//! rate limit is shared among them. The crate does no I/O and reads no clock; callers pass the current time.
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
mod class;
mod demand_rate;
mod engine_load;
mod fleet_share;
mod peer_demand;
mod priority;
mod request_priority;
mod retry_budget;
mod retry_budgets;
mod stream_admission;
mod stream_class;
mod stream_progress;
mod stream_queue;
mod token_bucket;
mod upstream_limit_change;
mod upstream_limits;
mod upstream_pauses;
mod urgency_levels;
mod usage_digest;

pub use crate::{
    account_rate_limit::AccountRateLimit,
    account_rate_limiter::AccountRateLimiter,
    admission_decision::AdmissionDecision,
    admission_queue::AdmissionQueue,
    admission_queue_limits::AdmissionQueueLimits,
    class::Class,
    engine_load::{EngineLoad, URGENCY_LEVELS},
    fleet_share::FleetShare,
    priority::Priority,
    request_priority::RequestPriority,
    retry_budget::{RetryBudget, RetryBudgetLimits, Urgency},
    retry_budgets::RetryBudgets,
    stream_admission::{EngineOffer, StreamAsk, StreamVerdict},
    stream_class::StreamClass,
    stream_progress::StreamProgress,
    stream_queue::{StreamQueue, WaitingStream},
    upstream_limit_change::UpstreamLimitChange,
    upstream_limits::UpstreamLimits,
    upstream_pauses::UpstreamPauses,
    urgency_levels::UrgencyLevels,
    usage_digest::UsageDigest,
};

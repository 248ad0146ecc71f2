//! Life cycle of calls that must run at most once, and claims of idempotency keys.
//!
//! An entry is a daemon that sends the calls of callers to upstreams. It claims the idempotency key of a call in the
//! key-value service of the deployment platform before it sends the call, so that no other entry sends a call with the
//! key. The state machines use no sockets and no clocks: the driver performs their steps and passes in the results.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod call;
mod claim;
mod claim_outcome;
mod claim_record;
mod claim_record_error;
mod claim_state;
mod close_claim;
mod expiry;
mod idempotency;
mod idempotency_key;
mod idempotency_rules;
mod kv_input;
mod kv_step;
mod not_run;
mod request_digest;
mod state;
mod stored_answer;

pub use crate::{
    call::{Call, LostCall},
    claim::Claim,
    claim_outcome::ClaimOutcome,
    claim_record::ClaimRecord,
    claim_record_error::ClaimRecordError,
    claim_state::ClaimState,
    close_claim::CloseClaim,
    expiry::{CLAIM_RETENTION_MS, expired_claims},
    idempotency::Idempotency,
    idempotency_key::{IdempotencyKey, IdempotencyKeyError},
    idempotency_rules::IdempotencyRules,
    kv_input::KvInput,
    kv_step::KvStep,
    not_run::NotRun,
    request_digest::RequestDigest,
    state::{Answered, Sent, Unknown, Unsent},
    stored_answer::{MAX_STORED_BODY_BYTES, StoredAnswer},
};

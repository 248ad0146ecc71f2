//! Life cycle of calls that may not be repeated, and claims of idempotency keys: no sockets and no clocks.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod body_digest;
mod call;
mod claim;
mod claim_outcome;
mod claim_record;
mod claim_state;
mod close_claim;
mod expiry;
mod idempotency_key;
mod kv_input;
mod kv_step;
mod not_run;
mod record_error;
mod repeat;
mod repeat_rules;
mod state;
mod stored_answer;

pub use crate::{
    body_digest::BodyDigest,
    call::{Call, Lost},
    claim::Claim,
    claim_outcome::ClaimOutcome,
    claim_record::ClaimRecord,
    claim_state::ClaimState,
    close_claim::CloseClaim,
    expiry::{RETENTION_MS, expired},
    idempotency_key::{IdempotencyKey, IdempotencyKeyError},
    kv_input::KvInput,
    kv_step::KvStep,
    not_run::NotRun,
    record_error::RecordError,
    repeat::Repeat,
    repeat_rules::RepeatRules,
    state::{Answered, Sent, Unknown, Unsent},
    stored_answer::{STORED_BODY_BYTES, StoredAnswer},
};

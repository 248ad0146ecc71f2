//! Callers that check their answers.

mod service_call;

pub use self::service_call::{CallOutcome, ServiceCall};
pub use stand::caller::{Answer, AnswerEnd, Caller, GenerationRequest};

//! Callers of generation services and of plain services.

mod service_call;

pub use self::service_call::{CallOutcome, ServiceCall};
pub use stand::caller::{Answer, AnswerEnd, Caller, GenerationRequest};

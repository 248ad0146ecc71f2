//! Caller that reads streamed answers and checks them.

mod answer;
mod service_call;
mod stream;

pub use self::{
    answer::{Answer, AnswerEnd},
    service_call::{CallOutcome, ServiceCall},
    stream::{Caller, Question},
};

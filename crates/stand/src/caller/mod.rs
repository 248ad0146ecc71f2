//! Client that sends generation requests to an entry (a daemon that serves callers) and verifies the streamed answers.

mod answer;
mod stream;

pub use self::{
    answer::{Answer, AnswerEnd},
    stream::{Caller, GenerationRequest},
};

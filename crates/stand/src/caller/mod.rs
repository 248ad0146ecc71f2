//! Caller that reads streamed answers and checks them.

mod answer;
mod stream;

pub use self::{
    answer::{Answer, AnswerEnd},
    stream::{Caller, GenerationRequest},
};

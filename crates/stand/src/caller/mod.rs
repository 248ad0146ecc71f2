//! Client of the daemon's entry that reads streamed answers and verifies them.

mod answer;
mod stream;

pub use self::{
    answer::{Answer, AnswerEnd},
    stream::{Caller, GenerationRequest},
};

//! OpenAI-style messages between callers and the daemon.

mod chat;
mod chunk;
mod completion;
mod error_body;

pub use self::{
    chat::{ChatMessage, ChatRequest, Content, ContentPart},
    chunk::{
        ChatChoice, ChatChunk, ChatChunkChoice, ChatCompletion, ChatDelta, ChatReply, Choice,
        Completion, Usage,
    },
    completion::{CompletionRequest, Prompt, StreamOptions},
    error_body::{ErrorBody, ErrorDetail},
};

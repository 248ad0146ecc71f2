//! Types of the messages exchanged with callers, engines and the platform, and a codec for server-sent events.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

pub mod engine;
pub mod openai;
pub mod platform;
pub mod sse;

//! Stand-ins of engines and the platform, for tests, experiments and `geraniumroad dev`.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod chain;
mod engine;
mod platform;

pub use crate::{
    chain::{Chain, ChainError, chat_prompt},
    engine::{Engine, EngineSettings, EngineState},
    platform::{Platform, PlatformSettings},
};

//! Client of engines and plain services over `hyper`.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod engine_error;
mod engine_pool;
mod engine_stream;

pub use crate::{engine_error::EngineError, engine_pool::EnginePool, engine_stream::EngineStream};

//! HTTP clients of engines and plain services.
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
mod service_connection;
mod service_error;

pub use crate::{
    engine_error::EngineError, engine_pool::EnginePool, engine_stream::EngineStream,
    service_connection::ServiceConnection, service_error::ServiceError,
};

//! Load generator, and experiments that run daemons and fakes of engines, plain services and the platform as real
//! processes.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod bench_error;
pub mod caller;

pub mod cluster;
pub mod experiment;
mod percentile;
mod process_usage;
pub mod role;

pub use crate::{bench_error::BenchError, percentile::percentile};

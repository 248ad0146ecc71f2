//! Stand-ins of engines and the platform, and a fault-injecting proxy, for tests, experiments and `geraniumroad dev`.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

mod chain;
pub mod cli;
mod engine;
mod net;
mod platform;
mod proxy;
mod reply;
mod service;

pub use crate::{
    chain::{Chain, ChainError, chat_prompt},
    engine::{Engine, EngineFault, EngineSettings, FencingPolicy},
    platform::{Platform, PlatformCounts, PlatformFault, PlatformSettings, VmChange},
    proxy::{Direction, Proxy, ProxyFault, ProxySettings},
    service::{FaultKind, Run, RunReport, Service, ServiceFault, ServiceOptions, ServiceSettings},
};

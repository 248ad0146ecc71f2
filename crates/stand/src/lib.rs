//! Fakes of engines, plain services and the platform, a fault-injecting TCP proxy, and a client that verifies streamed
//! answers.
#![deny(
    clippy::all,
    clippy::if_not_else,
    clippy::enum_glob_use,
    rust_2018_idioms,
    future_incompatible
)]

pub mod caller;
pub mod cli;
mod engine;
mod net;
mod platform;
mod proxy;
mod reply;
mod service;
mod token_chain;

pub use crate::{
    engine::{Engine, EngineFault, EngineSettings, FencingPolicy},
    platform::{Platform, PlatformCounts, PlatformFault, PlatformSettings, VmChange},
    proxy::{Direction, Proxy, ProxyFault, ProxySettings},
    service::{
        Run, RunReport, Service, ServiceFault, ServiceFaultKind, ServiceOptions, ServiceSettings,
    },
    token_chain::{TokenChain, TokenChainError, chat_prompt},
};

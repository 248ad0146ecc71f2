//! Fake of a model engine with continuous batching and a prefix cache.

mod cache_log;
mod context;
mod event_faults;
mod fault;
mod fencing;
mod handler;
mod load_log;
mod orders;
mod prefix_cache;
mod scheduler;
mod sequence;
mod server;
mod settings;
mod shared;
mod versions;

pub use self::{
    fault::EngineFault, fencing::FencingPolicy, server::Engine, settings::EngineSettings,
};

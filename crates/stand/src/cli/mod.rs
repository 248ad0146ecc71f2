//! Command-line options of the fakes that run as separate processes.

mod engine_options;
mod engine_role_name;
mod fencing_name;
mod platform_options;
mod proxy_options;
mod version_name;

pub use self::{
    engine_options::EngineOptions, platform_options::PlatformOptions, proxy_options::ProxyOptions,
};

//! Stand-in of the platform.

mod server;
mod settings;
mod store;

pub use self::{server::Platform, settings::PlatformSettings};

//! Stand-in of a model engine.

mod completion;
mod server;
mod settings;

pub use self::{server::Engine, settings::EngineSettings};

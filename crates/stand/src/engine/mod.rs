//! Stand-in of a model engine.

mod completion;
mod server;
mod settings;
mod state;
mod work;

pub use self::{server::Engine, settings::EngineSettings, state::EngineState};

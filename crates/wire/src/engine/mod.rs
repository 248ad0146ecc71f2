//! Messages between the daemon and an engine.

mod event;
mod request;

pub use self::{
    event::{EngineEvent, Usage},
    request::{EngineRequest, Message},
};

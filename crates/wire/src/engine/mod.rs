//! Messages between the daemon and an engine.

mod event;
mod raw_event;
mod request;

pub use self::{
    event::{EngineEvent, EventError, FinishReason},
    raw_event::{RawEngineEvent, Usage},
    request::{EngineRequest, Message},
};

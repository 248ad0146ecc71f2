//! Messages between the daemon and an engine.

mod cache_event;
mod counters;
mod event;
mod load;
mod loaded_version;
mod order;
mod raw_event;
mod request;
mod role;
mod state;

pub use self::{
    cache_event::{CacheEvent, CacheEventKind, CacheEventList},
    counters::EngineCounters,
    event::{EngineEvent, EventError, FinishReason},
    load::EngineLoad,
    loaded_version::LoadedVersion,
    order::{EngineOrder, OrderAction},
    raw_event::{RawEngineEvent, Usage},
    request::{EngineRequest, Message},
    role::EngineRole,
    state::EngineState,
};

//! Order for one engine.

use base::VmId;
use wire::engine::OrderAction;

/// Order for one engine, without the fencing token, which the sender reads right before it sends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineCommand {
    /// Engine.
    pub engine: VmId,
    /// Wanted end state.
    pub actions: Vec<OrderAction>,
}

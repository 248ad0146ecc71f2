//! Commands that the reconciler returns for engines.

use base::VmId;
use wire::engine::OrderAction;

/// Order for one engine without its fencing token, which the sender reads immediately before it sends the order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineCommand {
    /// Engine that the order is for.
    pub engine: VmId,
    /// Actions, each of which states a desired end state.
    pub actions: Vec<OrderAction>,
}

//! How upstreams treat orders.

use serde::{Deserialize, Serialize};

/// What the upstreams of a service check before they follow an order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderChecks {
    /// Whether an order with an old fencing token is rejected.
    #[serde(default)]
    pub checks_fencing_token: bool,
    /// Whether the sender of an order is authenticated.
    #[serde(default)]
    pub checks_sender: bool,
}

//! Checks that upstreams make before they follow an order.

use serde::{Deserialize, Serialize};

/// Checks that the upstreams of a service make before they follow an order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderChecks {
    /// Whether upstreams reject an order with an old fencing token.
    #[serde(default)]
    pub checks_fencing_token: bool,
    /// Whether upstreams authenticate the sender of an order.
    #[serde(default)]
    pub checks_sender: bool,
}

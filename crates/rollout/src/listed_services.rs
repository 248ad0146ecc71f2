//! Services whose items are in a list of all items.

use base::{HashSet, ServiceName};

/// Services whose orders and statuses are in a list of all items, whether or not these can be read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ListedServices {
    /// Services with an order.
    pub orders: HashSet<ServiceName>,
    /// Services with a status.
    pub statuses: HashSet<ServiceName>,
}

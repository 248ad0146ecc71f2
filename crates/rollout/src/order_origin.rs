//! How a daemon learned of an order.

/// How a daemon learned of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOrigin {
    /// By a change that the store reported when the order was written.
    Change,
    /// By a list of all items, so that the order may have run for any time.
    List,
    /// By the first list after the store was restored from an older copy.
    RestoredList,
}

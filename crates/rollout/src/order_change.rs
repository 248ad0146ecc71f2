//! What an order that was read means.

/// What an order that was read means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderChange {
    /// A rollout begins.
    Started,
    /// The order of the running rollout was written again.
    Continued,
    /// A rollout has ended because its order was removed.
    Removed,
    /// Nothing has changed.
    None,
}

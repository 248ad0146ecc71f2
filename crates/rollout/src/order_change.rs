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
    /// The item is from an older copy of the store, and what was known before stays in force.
    Outdated,
    /// Nothing has changed.
    None,
}

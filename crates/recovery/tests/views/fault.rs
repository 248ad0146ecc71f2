//! Faults that a case injects to check that the oracle detects them.

/// Rule that is deliberately broken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No rule is broken.
    None,
    /// Tokens are released before the holder has acknowledged them.
    EarlyRelease,
    /// A holder accepts appends of a superseded view.
    OldAppend,
    /// A cursor is accepted although the replica does not contain its view.
    AnyView,
    /// A cursor is accepted although its index is beyond the end of its view.
    AnyIndex,
    /// A newly installed replica replaces one that it does not descend from.
    AnyInstall,
}

impl Fault {
    /// All broken rules.
    pub const ALL: [Self; 5] =
        [Self::EarlyRelease, Self::OldAppend, Self::AnyView, Self::AnyIndex, Self::AnyInstall];
}

//! Rules that a case may break on purpose.

/// Rule that is broken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// None.
    None,
    /// Tokens are released before the holder has acknowledged them.
    EarlyRelease,
    /// A holder takes appends of a view that was superseded.
    OldAppend,
    /// A cursor of a view that the copy lacks is served.
    AnyView,
    /// A cursor is not compared with the end of its view.
    AnyIndex,
    /// A new copy replaces one that it does not descend from.
    AnyInstall,
}

impl Fault {
    /// All broken rules.
    pub const ALL: [Self; 5] =
        [Self::EarlyRelease, Self::OldAppend, Self::AnyView, Self::AnyIndex, Self::AnyInstall];
}

//! Rules that are broken on purpose.

/// Rule that is broken on purpose, to show that the oracle finds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// All rules hold.
    None,
    /// A daemon does not raise its incarnation when it hears that it was removed.
    NoRefutation,
    /// Nobody tries to reach removed daemons.
    NoProbe,
    /// A text that is received replaces the held one whatever its version.
    OlderText,
    /// A reader numbers lists by its own reads in place of the newest number that it knows.
    OwnListNumber,
    /// A daemon does not notice that it was paused.
    UnnoticedPause,
}

impl Fault {
    /// All broken rules.
    pub const ALL: [Self; 5] = [
        Self::NoRefutation,
        Self::NoProbe,
        Self::OlderText,
        Self::OwnListNumber,
        Self::UnnoticedPause,
    ];
}

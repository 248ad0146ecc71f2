//! Bugs that are injected to test the checks of the simulation.

/// Bug that is injected to show that the simulation detects it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InjectedBug {
    /// No bug.
    None,
    /// A daemon doesn't raise its incarnation when it receives a report that it is suspected or removed.
    NoRefutation,
    /// Removed daemons are not probed.
    NoProbe,
    /// A received text replaces the held one whatever its version is.
    OlderText,
    /// A reader numbers every list 1 instead of incrementing the number of the held list.
    OwnListNumber,
    /// A daemon doesn't detect that it was paused.
    UndetectedPause,
}

impl InjectedBug {
    /// All injected bugs.
    pub const ALL: [Self; 5] = [
        Self::NoRefutation,
        Self::NoProbe,
        Self::OlderText,
        Self::OwnListNumber,
        Self::UndetectedPause,
    ];
}

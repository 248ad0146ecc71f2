//! Versions of a service that can take requests.

/// Which versions of a service have instances that take requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsableVersions {
    /// Whether another version than the target and the suspended ones has.
    pub old: bool,
    /// Whether a suspended version has that was not found bad.
    pub suspended: bool,
    /// Whether the target version has.
    pub target: bool,
    /// Slots of the target's instances divided by those of the others.
    pub slots_ratio: f64,
}

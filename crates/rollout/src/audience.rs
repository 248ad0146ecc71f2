//! Daemons that are told a verdict.

/// Daemons that are told a verdict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Audience {
    All,
    Judges,
}

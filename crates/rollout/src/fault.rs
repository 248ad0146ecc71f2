//! Kind of bad answers.

/// Kind of bad answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Answers with a server error.
    Failures,
    /// Answers that took several times as long as usual.
    Slowness,
}

impl Fault {
    /// Value of the key `fault` in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::Slowness => "slowness",
        }
    }
}

//! Text that must not appear in logs and errors.

use std::{
    convert::Infallible,
    fmt::{Debug, Formatter, Result as FmtResult},
    str::FromStr,
};

/// Text that must not appear in logs and errors.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Box<str>);

impl Secret {
    /// The text.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl Debug for Secret {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.write_str("(secret)")
    }
}

impl FromStr for Secret {
    type Err = Infallible;

    fn from_str(raw: &str) -> Result<Self, Infallible> {
        Ok(Self(raw.into()))
    }
}

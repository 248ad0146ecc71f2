//! Type for secrets, which must not appear in logs and error messages.

use std::{
    convert::Infallible,
    fmt::{Debug, Formatter, Result as FmtResult},
    str::FromStr,
};

/// Text whose debug output is `(secret)`, so that it does not appear in logs and error messages.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Box<str>);

impl Secret {
    /// Returns the secret text, which must not be logged.
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

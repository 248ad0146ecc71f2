//! Validated names of the entities that operators and the platform define.

use crate::name_error::NameError;
use serde::{Deserialize, Serialize};
use std::{
    fmt::{Display, Formatter, Result as FmtResult},
    str::FromStr,
};

/// Maximum length of a name. All allowed characters take one byte.
const MAX_NAME_BYTES: usize = 64;

/// Checks the length and the characters of a name.
fn check(raw: &str) -> Result<(), NameError> {
    if raw.is_empty() {
        return Err(NameError::Empty);
    }
    if raw.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(raw.len()));
    }
    let is_allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    match raw.chars().find(|c| !is_allowed(c)) {
        Some(character) => Err(NameError::Character(character)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as a string.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
                f.write_str(&self.0)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.into()
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(raw: &str) -> Result<Self, NameError> {
                Self::try_from(raw)
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(raw: &str) -> Result<Self, NameError> {
                check(raw)?;
                Ok(Self(raw.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(raw: String) -> Result<Self, NameError> {
                check(&raw)?;
                Ok(Self(raw.into_boxed_str()))
            }
        }
    };
}

name_type!(
    /// Name of a client account, to which the API keys of callers belong.
    AccountName
);
name_type!(
    /// Name of a failure domain, whose VMs tend to fail together.
    DomainName
);
name_type!(
    /// Name of a model, of which there may be several versions.
    ModelName
);
name_type!(
    /// Name of an operator, who may change the configuration.
    OperatorName
);
name_type!(
    /// Identifier of an operator's plan to change the configuration.
    PlanId
);
name_type!(
    /// Name of a service, to which engines or other upstreams belong.
    ServiceName
);
name_type!(
    /// Name of a version of a model, which has weights of its own.
    VersionName
);
name_type!(
    /// Identifier of a VM in the platform's list.
    VmId
);

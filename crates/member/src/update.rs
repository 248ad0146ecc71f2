//! What leads a daemon to a newer version.

use crate::{patch::Patch, version::Version};
use serde::{Deserialize, Serialize};

/// What leads a daemon to a newer version of a text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Update {
    /// There is nothing newer.
    None,
    /// Patches, each of which applies to the result of the one before.
    Patches(Vec<Patch>),
    /// The whole text.
    Whole(Version, String),
}

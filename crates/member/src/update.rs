//! Updates of a replicated text.

use crate::{patch::Patch, version::Version};
use serde::{Deserialize, Serialize};

/// Answer to a fetch: the changes that bring a replicated text to a newer version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Update {
    /// There is no newer version.
    None,
    /// Patches; each applies to the result of the previous one.
    Patches(Vec<Patch>),
    /// The whole text with its version.
    Whole(Version, String),
}

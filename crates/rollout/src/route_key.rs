//! Short name of a route in messages.

use base::stable_hash;
use serde::{Deserialize, Serialize};

/// Hash of a route's name, which is the same at all daemons.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RouteKey(u32);

impl From<&str> for RouteKey {
    fn from(name: &str) -> Self {
        Self(stable_hash(name) as u32)
    }
}

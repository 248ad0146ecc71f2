//! Short name of a route in messages.

use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Hash of a route's name, which is the same at all daemons.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RouteKey(u32);

impl From<&str> for RouteKey {
    fn from(name: &str) -> Self {
        // `DefaultHasher::new` has fixed keys.
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Self(hasher.finish() as u32)
    }
}

//! Hash that all processes compute alike.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Hash of a value, with a hasher that has fixed keys.
pub fn stable_hash(value: &(impl Hash + ?Sized)) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

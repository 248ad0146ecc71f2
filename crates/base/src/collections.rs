//! Hash collections with a fast hasher that is seeded at random for each process.

use ahash::RandomState;

/// Hash map with the workspace's hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, RandomState>;

/// Hash set with the workspace's hasher.
pub type HashSet<T> = std::collections::HashSet<T, RandomState>;

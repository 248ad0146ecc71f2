//! Hash collections with a fast hasher, which each process seeds at random.

use ahash::RandomState;

/// Hash map with the hasher that all crates use.
pub type HashMap<K, V> = std::collections::HashMap<K, V, RandomState>;

/// Hash set with the hasher that all crates use.
pub type HashSet<T> = std::collections::HashSet<T, RandomState>;

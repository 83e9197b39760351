//! Hash maps and sets with a fast, keyed hasher.

/// A hash map with a fast hasher that resists chosen keys.
pub type HashMap<K, V> = std::collections::HashMap<K, V, ahash::RandomState>;

/// A hash set with a fast hasher that resists chosen keys.
pub type HashSet<T> = std::collections::HashSet<T, ahash::RandomState>;

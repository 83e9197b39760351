//! Hash maps and sets with a fast hasher that is seeded at random.

/// A hash map with a fast hasher that resists collision attacks.
pub type HashMap<K, V> = std::collections::HashMap<K, V, ahash::RandomState>;

/// A hash set with a fast hasher that resists collision attacks.
pub type HashSet<T> = std::collections::HashSet<T, ahash::RandomState>;

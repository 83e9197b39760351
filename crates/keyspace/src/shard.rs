//! From key to shard.

use crate::id::ShardIndex;
use xxhash_rust::xxh3::xxh3_64;

/// The shard of `key` in a service of `shards` shards.
///
/// Shards are equal ranges of the 64-bit xxh3 hash.
///
/// # Examples
///
/// ```
/// let shard = copperwell_keyspace::shard::index_of("cabin-17", 256);
/// assert!(shard < 256);
/// ```
#[must_use]
pub fn index_of(key: &str, shards: u32) -> ShardIndex {
    let wide = u128::from(xxh3_64(key.as_bytes())) * u128::from(shards);
    // The product of a 64-bit and a 32-bit number has its top part below `shards`.
    (wide >> 64) as ShardIndex
}

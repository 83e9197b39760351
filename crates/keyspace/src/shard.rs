//! Maps keys to shards.

use crate::id::ShardIndex;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the shard of `key` in a service with `shards` shards.
///
/// Each shard is an equal range of the 64-bit xxh3 hash.
///
/// # Examples
///
/// ```
/// let shard = copperwell_keyspace::shard::index_of("cabin-17", 256);
/// assert!(shard < 256);
/// ```
#[must_use]
pub fn index_of(key: &str, shards: u32) -> ShardIndex {
    let product = u128::from(xxh3_64(key.as_bytes())) * u128::from(shards);
    // The hash is below 2^64, so the product shifted by 64 bits is below `shards`.
    (product >> 64) as ShardIndex
}

//! The most requested keys, in bounded memory.

use std::sync::Arc;

use copperwell_message::HashMap;

/// Counts the most frequent keys by the space-saving algorithm.
///
/// A key whose true count is above the total divided by the capacity is always among the keys kept.
/// No count is below the true one, and none exceeds it by more than its error.
#[derive(Debug)]
pub struct Sketch {
    capacity: usize,
    counts: HashMap<Arc<str>, Count>,
    total: u64,
}

/// A frequent key and its approximate count.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HotKey {
    /// The key.
    pub key: Arc<str>,
    /// Upper bound of its true count.
    pub count: u64,
    /// Maximum by which `count` exceeds the true count.
    pub error: u64,
}

#[derive(Debug, Clone, Copy)]
struct Count {
    count: u64,
    error: u64,
}

impl Sketch {
    /// Creates a sketch that keeps at most `capacity` keys.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            counts: HashMap::default(),
            total: 0,
        }
    }

    /// Counts one occurrence of a key.
    pub fn add(&mut self, key: &str) {
        self.total += 1;
        if let Some(count) = self.counts.get_mut(key) {
            count.count += 1;
            return;
        }
        let error = if self.counts.len() < self.capacity {
            0
        } else {
            self.evict()
        };
        let count = Count {
            count: error + 1,
            error,
        };
        self.counts.insert(key.into(), count);
    }

    /// Returns the number of occurrences of all keys.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the most frequent keys, in descending order of their counts.
    #[must_use]
    pub fn top(&self, keys: usize) -> Vec<HotKey> {
        let hot = self.counts.iter().map(|(key, count)| HotKey {
            key: key.clone(),
            count: count.count,
            error: count.error,
        });
        let mut hot: Vec<HotKey> = hot.collect();
        hot.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.key.cmp(&b.key)));
        hot.truncate(keys);
        hot
    }

    /// Halves all counts, so that keys that are no longer requested decay.
    pub fn decay(&mut self) {
        self.total /= 2;
        self.counts.retain(|_, count| {
            count.count /= 2;
            count.error /= 2;
            count.count > 0
        });
    }

    /// Removes the key with the lowest count and returns that count.
    fn evict(&mut self) -> u64 {
        let least = self.counts.iter().min_by_key(|(_, count)| count.count);
        let Some((key, count)) = least.map(|(key, count)| (key.clone(), count.count)) else {
            return 0;
        };
        self.counts.remove(&key);
        count
    }
}

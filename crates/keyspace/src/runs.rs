//! Values by shard, stored as runs of equal values.

use std::{hash::Hash, ops::Range};

use crate::{HashMap, HashSet, id::ShardIndex};
use serde::{Deserialize, Serialize};

/// The most shards accepted by deserialization.
const LENGTH_MAX: u32 = 1 << 16;
/// The most values beyond the number of runs; past it, unused values are dropped.
const UNUSED_VALUES_MAX: usize = 64;

/// The values of shards `0..len`, as runs of equal values.
///
/// Takes 8 bytes per run and stores each distinct value once, whatever the number of shards.
///
/// # Examples
///
/// ```
/// let mut runs: copperwell_keyspace::Runs<_> = ["a", "a", "b"].into_iter().collect();
/// assert!(runs.set(0, "b"));
/// assert_eq!(runs.positions_of(&"b"), [0, 2]);
/// ```
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(
    into = "Plain<T>",
    try_from = "Plain<T>",
    bound(
        serialize = "T: Clone + Eq + Hash + Serialize",
        deserialize = "T: Clone + Eq + Hash + Deserialize<'de>"
    )
)]
pub struct Runs<T> {
    /// Distinct values; some may be unused.
    values: Vec<T>,
    /// In ascending order; adjacent runs have different values.
    runs: Vec<Run>,
}

/// Consecutive shards of one value, which start at the end of the run before.
#[derive(Debug, Clone, Copy)]
struct Run {
    /// The first shard after the run.
    end: ShardIndex,
    /// The position of the value in [`Runs::values`].
    value: u32,
}

impl<T> Default for Runs<T> {
    fn default() -> Self {
        Self {
            values: Vec::new(),
            runs: Vec::new(),
        }
    }
}

impl<T: Clone + Eq + Hash> Runs<T> {
    /// Creates runs with one value for all of `0..len`.
    #[must_use]
    pub fn new(value: T, len: u32) -> Self {
        let mut runs = Self::default();
        runs.extend_to(len, value);
        runs
    }

    /// Returns the number of shards.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.runs.last().map_or(0, |run| run.end)
    }

    /// Whether there are no shards.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the value of a shard; `None` if there is no such shard.
    #[must_use]
    pub fn get(&self, shard: ShardIndex) -> Option<&T> {
        let run = self.runs.get(self.run_index(shard))?;
        Some(&self.values[run.value as usize])
    }

    /// Iterates over the runs in order.
    pub fn runs(&self) -> impl Iterator<Item = (Range<ShardIndex>, &T)> {
        let mut start = 0;
        self.runs.iter().map(move |run| {
            let shards = start..run.end;
            start = run.end;
            (shards, &self.values[run.value as usize])
        })
    }

    /// Iterates over the value of each shard in order.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.runs()
            .flat_map(|(shards, value)| shards.map(move |_| value))
    }

    /// Whether any shard has this value.
    #[must_use]
    pub fn contains(&self, value: &T) -> bool {
        self.runs().any(|(_, other)| other == value)
    }

    /// Returns the shards that have a value, ascending.
    #[must_use]
    pub fn positions_of(&self, value: &T) -> Vec<ShardIndex> {
        let runs = self.runs().filter(|(_, other)| *other == value);
        runs.flat_map(|(shards, _)| shards).collect()
    }

    /// Sets the value of a shard; returns whether the shard exists.
    pub fn set(&mut self, shard: ShardIndex, value: T) -> bool {
        let index = self.run_index(shard);
        let Some(old) = self.runs.get(index).copied() else {
            return false;
        };
        let value = self.intern(value);
        if old.value != value {
            self.split(index, shard, old, value);
            self.drop_unused_values();
        }
        true
    }

    /// Appends shards of a value so that there are `end` shards; does nothing if there are already.
    pub fn extend_to(&mut self, end: ShardIndex, value: T) {
        if end <= self.len() {
            return;
        }
        let value = self.intern(value);
        match self.runs.last_mut().filter(|last| last.value == value) {
            Some(last) => last.end = end,
            None => self.runs.push(Run { end, value }),
        }
    }

    /// Returns the index of the run that contains a shard.
    fn run_index(&self, shard: ShardIndex) -> usize {
        self.runs.partition_point(|run| run.end <= shard)
    }

    /// Returns the position of a value, and adds it if it is new; compares the last values first.
    fn intern(&mut self, value: T) -> u32 {
        let known = self.values.iter().rposition(|known| *known == value);
        let position = known.unwrap_or_else(|| {
            self.values.push(value);
            self.values.len() - 1
        });
        position as u32
    }

    /// Sets one shard of a run to another value, and merges it with adjacent runs of that value.
    fn split(&mut self, index: usize, shard: ShardIndex, old: Run, value: u32) {
        let start = index.checked_sub(1).map_or(0, |left| self.runs[left].end);
        let next = shard + 1;
        let (mut replaced, mut end) = (index..index + 1, next);
        if shard == start && index > 0 && self.runs[index - 1].value == value {
            replaced.start -= 1;
        }
        if let Some(right) = self.runs.get(index + 1)
            && next == old.end
            && right.value == value
        {
            replaced.end += 1;
            end = right.end;
        }
        let before = (shard > start).then_some(Run { end: shard, ..old });
        let after = (next < old.end).then_some(old);
        let middle = Some(Run { end, value });
        let parts = [before, middle, after].into_iter().flatten();
        self.runs.splice(replaced, parts);
    }

    /// Drops the values of no run, once there are many.
    fn drop_unused_values(&mut self) {
        if self.values.len() <= self.runs.len() + UNUSED_VALUES_MAX {
            return;
        }
        *self = Self::from_plain(Plain::from(self.clone()));
    }

    /// Converts runs whose value positions are known to be valid.
    fn from_plain(plain: Plain<T>) -> Self {
        let mut end = 0;
        let runs = plain.positions.into_iter().zip(plain.lengths);
        let runs = runs.map(|(value, length)| {
            end += length;
            Run { end, value }
        });
        Self {
            runs: runs.collect(),
            values: plain.values,
        }
    }
}

impl<T: Clone + Eq + Hash> FromIterator<T> for Runs<T> {
    fn from_iter<I: IntoIterator<Item = T>>(values: I) -> Self {
        let mut runs = Self::default();
        for (end, value) in (1..).zip(values) {
            runs.extend_to(end, value);
        }
        runs
    }
}

impl<T: Clone + Eq + Hash> PartialEq for Runs<T> {
    fn eq(&self, other: &Self) -> bool {
        self.runs().eq(other.runs())
    }
}

impl<T: Clone + Eq + Hash> Eq for Runs<T> {}

/// The serialized form of [`Runs`]: column by column, which compresses best.
#[derive(Serialize, Deserialize)]
struct Plain<T> {
    /// Distinct values in the order of their first runs.
    values: Vec<T>,
    /// For each run, the position of its value.
    positions: Vec<u32>,
    /// For each run, the number of its shards.
    lengths: Vec<u32>,
}

impl<T: Clone + Eq + Hash> From<Runs<T>> for Plain<T> {
    fn from(from: Runs<T>) -> Self {
        let mut positions: HashMap<&T, u32> = HashMap::default();
        let mut plain = Self {
            values: Vec::new(),
            positions: Vec::with_capacity(from.runs.len()),
            lengths: Vec::with_capacity(from.runs.len()),
        };
        for (shards, value) in from.runs() {
            let position = *positions.entry(value).or_insert_with(|| {
                plain.values.push(value.clone());
                plain.values.len() as u32 - 1
            });
            plain.positions.push(position);
            plain.lengths.push(shards.len() as u32);
        }
        plain
    }
}

impl<T: Clone + Eq + Hash> TryFrom<Plain<T>> for Runs<T> {
    type Error = &'static str;

    /// Converts serialized runs, if they are as [`Runs`] would serialize them.
    fn try_from(plain: Plain<T>) -> Result<Self, &'static str> {
        let mut left = LENGTH_MAX;
        for length in &plain.lengths {
            left = left.checked_sub(*length).ok_or("too many shards")?;
        }
        let positions = &plain.positions;
        let is_known = |position: &u32| (*position as usize) < plain.values.len();
        let is_joined = positions.windows(2).all(|pair| pair[0] != pair[1]);
        if positions.len() != plain.lengths.len() || plain.lengths.contains(&0) {
            return Err("a run without shards, or lists of different lengths");
        }
        if !is_joined || !positions.iter().all(is_known) {
            return Err("a run without a value, or with the value of the run before");
        }
        let mut seen = HashSet::default();
        if !plain.values.iter().all(|value| seen.insert(value)) {
            return Err("a duplicate value");
        }
        Ok(Self::from_plain(plain))
    }
}

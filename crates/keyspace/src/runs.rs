//! Values by position, kept as runs of equal ones.

use std::{hash::Hash, ops::Range};

use crate::{HashMap, HashSet, id::ShardIndex};
use serde::{Deserialize, Serialize};

/// The most positions of one list of runs.
const LENGTH_MAX: u32 = 1 << 16;
/// Values that no run has any more are kept until there are this many more than runs.
const SPARE_MAX: usize = 64;

/// The values of shards `0..len`, as runs of equal values.
///
/// Takes 8 bytes for each run and each distinct value once, however many shards there are.
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
    /// Distinct values; some may be in no run any more.
    values: Vec<T>,
    /// Ascending, and neighbours have different values.
    runs: Vec<Run>,
}

/// Consecutive shards of one value, from the end of the run before.
#[derive(Debug, Clone, Copy)]
struct Run {
    /// The first shard after the run.
    end: ShardIndex,
    /// Position in [`Runs::values`].
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
    /// One value for all of `0..len`.
    #[must_use]
    pub fn new(value: T, len: u32) -> Self {
        let mut runs = Self::default();
        runs.extend_to(len, value);
        runs
    }

    /// How many shards there are.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.runs.last().map_or(0, |run| run.end)
    }

    /// Whether there is no shard.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// The value of a shard.
    #[must_use]
    pub fn get(&self, shard: ShardIndex) -> Option<&T> {
        let run = self.runs.get(self.place_of(shard))?;
        Some(&self.values[run.value as usize])
    }

    /// The runs in order.
    pub fn runs(&self) -> impl Iterator<Item = (Range<ShardIndex>, &T)> {
        let mut start = 0;
        self.runs.iter().map(move |run| {
            let shards = start..run.end;
            start = run.end;
            (shards, &self.values[run.value as usize])
        })
    }

    /// The value of each shard in order.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.runs()
            .flat_map(|(shards, value)| shards.map(move |_| value))
    }

    /// Whether any shard has this value.
    #[must_use]
    pub fn contains(&self, value: &T) -> bool {
        self.runs().any(|(_, held)| held == value)
    }

    /// The shards of a value, ascending.
    #[must_use]
    pub fn positions_of(&self, value: &T) -> Vec<ShardIndex> {
        let runs = self.runs().filter(|(_, held)| *held == value);
        runs.flat_map(|(shards, _)| shards).collect()
    }

    /// Sets the value of a shard; returns whether there is such a shard.
    pub fn set(&mut self, shard: ShardIndex, value: T) -> bool {
        let place = self.place_of(shard);
        let Some(old) = self.runs.get(place).copied() else {
            return false;
        };
        let value = self.intern(value);
        if old.value != value {
            self.split(place, shard, old, value);
            self.drop_spare();
        }
        true
    }

    /// Gives a value to all shards from the end up to `end`.
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

    /// The position of the run that has a shard.
    fn place_of(&self, shard: ShardIndex) -> usize {
        self.runs.partition_point(|run| run.end <= shard)
    }

    /// The position of a value, which is added if it is new; the last ones are looked at first.
    fn intern(&mut self, value: T) -> u32 {
        let held = self.values.iter().rposition(|held| *held == value);
        let position = held.unwrap_or_else(|| {
            self.values.push(value);
            self.values.len() - 1
        });
        position as u32
    }

    /// Gives one shard of a run another value, and joins it to neighbours that have it.
    fn split(&mut self, place: usize, shard: ShardIndex, old: Run, value: u32) {
        let start = place.checked_sub(1).map_or(0, |left| self.runs[left].end);
        let next = shard + 1;
        let (mut replaced, mut end) = (place..place + 1, next);
        if shard == start && place > 0 && self.runs[place - 1].value == value {
            replaced.start -= 1;
        }
        if let Some(right) = self.runs.get(place + 1)
            && next == old.end
            && right.value == value
        {
            replaced.end += 1;
            end = right.end;
        }
        let before = (shard > start).then_some(Run { end: shard, ..old });
        let after = (next < old.end).then_some(old);
        let middle = Some(Run { end, value });
        let pieces = [before, middle, after].into_iter().flatten();
        self.runs.splice(replaced, pieces);
    }

    /// Forgets values that no run has, once there are many.
    fn drop_spare(&mut self) {
        if self.values.len() <= self.runs.len() + SPARE_MAX {
            return;
        }
        *self = Self::from_plain(Plain::from(self.clone()));
    }

    /// Takes over runs whose values are known to exist.
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

/// Runs as they are written: column by column, which compresses best.
#[derive(Serialize, Deserialize)]
struct Plain<T> {
    /// Distinct values in the order of their first run.
    values: Vec<T>,
    /// For each run, the position of its value.
    positions: Vec<u32>,
    /// For each run, how many shards it has.
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

    /// Takes runs in if they are what [`Runs`] would write.
    fn try_from(plain: Plain<T>) -> Result<Self, &'static str> {
        let mut left = LENGTH_MAX;
        for length in &plain.lengths {
            left = left.checked_sub(*length).ok_or("too many shards")?;
        }
        let positions = &plain.positions;
        let is_known = |position: &u32| (*position as usize) < plain.values.len();
        let is_joined = positions.windows(2).all(|pair| pair[0] != pair[1]);
        if positions.len() != plain.lengths.len() || plain.lengths.contains(&0) {
            return Err("a run without shards");
        }
        if !is_joined || !positions.iter().all(is_known) {
            return Err("a run of no value of its own");
        }
        let mut seen = HashSet::default();
        if !plain.values.iter().all(|value| seen.insert(value)) {
            return Err("a value twice");
        }
        Ok(Self::from_plain(plain))
    }
}

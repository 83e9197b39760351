//! Placement of shards on upstreams.

use copperwell_keyspace::{ShardIndex, UpstreamName};

/// An upstream that accepts shards.
#[derive(Debug, Clone, PartialEq)]
pub struct Bin {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The upstream's concurrency limit, the weight of its load.
    pub slots: u32,
    /// The upstream's load, in the unit of [`Item::load`].
    pub load: f64,
}

/// A shard to place.
#[derive(Debug, Clone, PartialEq)]
pub struct Item {
    /// The shard.
    pub shard: ShardIndex,
    /// The shard's load.
    pub load: f64,
    /// The upstream that gets the shard if possible, such as one with a warm cache for it.
    pub preferred: Option<UpstreamName>,
}

/// The assignment of a shard to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The shard.
    pub shard: ShardIndex,
    /// The upstream.
    pub upstream: UpstreamName,
}

/// Bounds on imbalance. A level is an upstream's load per slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// An upstream above this multiple of the mean level is overloaded.
    pub high: f64,
    /// An overloaded upstream is relieved until its level is at most this multiple of the mean.
    pub target: f64,
    /// An upstream below this multiple of the mean level is underloaded.
    pub low: f64,
    /// A move from an overloaded upstream must lower the higher one of the two levels by at least
    /// this multiple of the mean level.
    pub min_gain: f64,
    /// Load above the mean is noise unless it exceeds this multiple of the square root of the
    /// upstream's load. Load counts requests, so its standard deviation is about that root.
    pub noise: f64,
    /// The most moves of one call.
    pub max_moves: usize,
}

/// An upstream and the shards that it holds.
#[derive(Debug, Clone, PartialEq)]
pub struct Holder {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The upstream's concurrency limit, the weight of its load.
    pub slots: u32,
    /// The load of the shards that must not be moved.
    pub fixed: f64,
    /// The shards that may be moved.
    pub shards: Vec<Item>,
}

/// Assigns free shards to their preferred upstreams if these are among the bins, else to the
/// upstreams with the lowest level. Returns nothing if there are no bins.
#[must_use]
pub fn fill(mut bins: Vec<Bin>, mut items: Vec<Item>) -> Vec<Assignment> {
    items.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.shard.cmp(&b.shard)));
    let has_preferred = |item: &Item| {
        bins.iter()
            .any(|bin| Some(&bin.upstream) == item.preferred.as_ref())
    };
    // Shards with a preferred upstream come first, so that their load counts for the others.
    let (with_preferred, others): (Vec<Item>, Vec<Item>) =
        items.into_iter().partition(has_preferred);
    let mut assignments = Vec::new();
    for item in with_preferred {
        let is_preferred = |bin: &&mut Bin| Some(&bin.upstream) == item.preferred.as_ref();
        if let Some(bin) = bins.iter_mut().find(is_preferred) {
            assignments.push(bin.assign(item.shard, item.load));
        }
    }
    for item in others {
        let level_after = |bin: &&mut Bin| bin.with(item.load).level();
        if let Some(bin) = bins
            .iter_mut()
            .min_by(|a, b| level_after(a).total_cmp(&level_after(b)))
        {
            assignments.push(bin.assign(item.shard, item.load));
        }
    }
    assignments
}

/// Returns the fewest moves that bring the upstreams within the bound, or as near as
/// [`Bound::max_moves`] allows.
///
/// Nothing moves unless an upstream is overloaded or underloaded, and each move lowers the higher
/// one of its two levels, so that the same load never oscillates.
#[must_use]
pub fn rebalance(mut holders: Vec<Holder>, bound: &Bound) -> Vec<Assignment> {
    let load: f64 = holders.iter().map(|holder| holder.bin().load).sum();
    let slots: f64 = holders.iter().map(|holder| f64::from(holder.slots)).sum();
    let mean = load / slots.max(1.0);
    let mut assignments = Vec::new();
    let Some((highest, lowest)) = extremes(&holders) else {
        return assignments;
    };
    let level = |holders: &[Holder], index: usize| holders[index].bin().level();
    let highest_bin = holders[highest].bin();
    let excess = highest_bin.load - mean * f64::from(highest_bin.slots);
    let is_noise = excess <= bound.noise * highest_bin.load.sqrt();
    let is_high = highest_bin.level() > mean * bound.high && !is_noise;
    let is_low = level(&holders, lowest) < mean * bound.low;
    if !is_high && !is_low {
        return assignments;
    }
    // An underloaded upstream is filled even if each move gains little.
    let min_gain = if is_low { 0.0 } else { bound.min_gain };
    while assignments.len() < bound.max_moves {
        let Some((highest, lowest)) = extremes(&holders) else {
            break;
        };
        let is_relieved = level(&holders, highest) <= mean * bound.target;
        let is_filled = level(&holders, lowest) >= mean * bound.low;
        if is_relieved && is_filled {
            break;
        }
        let Some(index) = best_move(&holders[highest], &holders[lowest], mean, min_gain) else {
            break;
        };
        let item = holders[highest].shards.swap_remove(index);
        assignments.push(Assignment {
            shard: item.shard,
            upstream: holders[lowest].upstream.clone(),
        });
        // Count the shard as fixed, so that it does not move twice in one call.
        holders[lowest].fixed += item.load;
    }
    assignments
}

/// Returns the indexes of the holders with the highest and the lowest level, if they differ.
fn extremes(holders: &[Holder]) -> Option<(usize, usize)> {
    let levels = || {
        holders
            .iter()
            .map(|holder| holder.bin().level())
            .enumerate()
    };
    let highest = levels().max_by(|a, b| a.1.total_cmp(&b.1))?.0;
    let lowest = levels().min_by(|a, b| a.1.total_cmp(&b.1))?.0;
    (highest != lowest).then_some((highest, lowest))
}

/// Returns the index of the shard whose move from `from` to `to` leaves both levels nearest to the
/// mean, among those that lower the higher level by at least `min_gain` times the mean.
fn best_move(from: &Holder, to: &Holder, mean: f64, min_gain: f64) -> Option<usize> {
    let before = from.bin().level();
    let distance = |item: &Item| {
        let left = from.bin().with(-item.load).level();
        let right = to.bin().with(item.load).level();
        (left - mean).abs().max((right - mean).abs())
    };
    let is_improvement = |item: &Item| {
        let left = from.bin().with(-item.load).level();
        let right = to.bin().with(item.load).level();
        let after = left.max(right);
        after < before && before - after >= min_gain * mean
    };
    let items = from.shards.iter().enumerate();
    items
        .filter(|(_, item)| is_improvement(item))
        .min_by(|a, b| distance(a.1).total_cmp(&distance(b.1)))
        .map(|(index, _)| index)
}

impl Holder {
    /// Returns the holder as a bin with all its load.
    fn bin(&self) -> Bin {
        let moving: f64 = self.shards.iter().map(|item| item.load).sum();
        Bin {
            upstream: self.upstream.clone(),
            slots: self.slots,
            load: self.fixed + moving,
        }
    }
}

impl Bin {
    /// Returns the load per slot.
    fn level(&self) -> f64 {
        self.load / f64::from(self.slots.max(1))
    }

    /// Returns the bin with `load` added.
    fn with(&self, load: f64) -> Self {
        Self {
            load: self.load + load,
            ..self.clone()
        }
    }

    /// Adds a shard's load and returns the assignment.
    fn assign(&mut self, shard: ShardIndex, load: f64) -> Assignment {
        self.load += load;
        Assignment {
            shard,
            upstream: self.upstream.clone(),
        }
    }
}

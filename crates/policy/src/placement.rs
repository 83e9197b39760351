//! Which upstream a shard goes to.

use copperwell_keyspace::{ShardIndex, UpstreamName};

/// An upstream that can take shards.
#[derive(Debug, Clone, PartialEq)]
pub struct Bin {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Requests that it runs at a time: its weight.
    pub slots: u32,
    /// The load that it has, in the unit of [`Item::load`].
    pub load: f64,
}

/// A shard to place.
#[derive(Debug, Clone, PartialEq)]
pub struct Item {
    /// The shard.
    pub shard: ShardIndex,
    /// Its load.
    pub load: f64,
    /// The upstream that is to have it if it can, such as the one that is still warm for it.
    pub next: Option<UpstreamName>,
}

/// A shard and the upstream that it goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The shard.
    pub shard: ShardIndex,
    /// The upstream.
    pub upstream: UpstreamName,
}

/// Bounds on imbalance. A level is an upstream's load for each slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Above so many times the mean level an upstream has too much.
    pub high: f64,
    /// One that had too much is relieved until it is at so many times the mean.
    pub enough: f64,
    /// Below so many times the mean level an upstream has too little.
    pub low: f64,
    /// By so many times the mean level a move away from an upstream that has too much has to lower
    /// the higher one of its two levels.
    pub gain: f64,
    /// What an upstream has above the mean is chance unless it is more than so many times the
    /// square root of its load. Load counts requests, so chance alone makes it vary by that root.
    pub chance: f64,
    /// The most moves at a time.
    pub moves: usize,
}

/// An upstream and the shards that it has.
#[derive(Debug, Clone, PartialEq)]
pub struct Holder {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Requests that it runs at a time: its weight.
    pub slots: u32,
    /// Load that stays with it.
    pub fixed: f64,
    /// Its shards that may be moved.
    pub shards: Vec<Item>,
}

/// Places shards that nobody holds: where they are wanted if that can be, else where there is the
/// least load for each slot. Empty if there are no bins.
#[must_use]
pub fn fill(mut bins: Vec<Bin>, mut items: Vec<Item>) -> Vec<Target> {
    items.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.shard.cmp(&b.shard)));
    let is_there = |item: &Item| {
        bins.iter()
            .any(|bin| Some(&bin.upstream) == item.next.as_ref())
    };
    // Those with a place are counted before the others choose.
    let (placed, others): (Vec<Item>, Vec<Item>) = items.into_iter().partition(is_there);
    let mut targets = Vec::new();
    for item in placed {
        let wanted = |bin: &&mut Bin| Some(&bin.upstream) == item.next.as_ref();
        if let Some(bin) = bins.iter_mut().find(wanted) {
            targets.push(bin.take(item.shard, item.load));
        }
    }
    for item in others {
        let after = |bin: &&mut Bin| bin.with(item.load).level();
        if let Some(bin) = bins.iter_mut().min_by(|a, b| after(a).total_cmp(&after(b))) {
            targets.push(bin.take(item.shard, item.load));
        }
    }
    targets
}

/// The least moves that bring the upstreams within the bound, or as far as the moves allow.
///
/// Nothing moves unless an upstream has too much or too little, and each move lowers the higher
/// one of its two levels, so that the same load never moves to and fro.
#[must_use]
pub fn rebalance(mut holders: Vec<Holder>, bound: &Bound) -> Vec<Target> {
    let load: f64 = holders.iter().map(|holder| holder.bin().load).sum();
    let slots: f64 = holders.iter().map(|holder| f64::from(holder.slots)).sum();
    let mean = load / slots.max(1.0);
    let mut targets = Vec::new();
    let Some((worst, least)) = extremes(&holders) else {
        return targets;
    };
    let level = |holders: &[Holder], index: usize| holders[index].bin().level();
    let most = holders[worst].bin();
    let excess = most.load - mean * f64::from(most.slots);
    let is_chance = excess <= bound.chance * most.load.sqrt();
    let is_high = most.level() > mean * bound.high && !is_chance;
    let is_low = level(&holders, least) < mean * bound.low;
    if !is_high && !is_low {
        return targets;
    }
    // An upstream that has too little is filled however small its shards are.
    let gain = if is_low { 0.0 } else { bound.gain };
    while targets.len() < bound.moves {
        let Some((worst, least)) = extremes(&holders) else {
            break;
        };
        let relieved = level(&holders, worst) <= mean * bound.enough;
        let filled = level(&holders, least) >= mean * bound.low;
        if relieved && filled {
            break;
        }
        let Some(index) = choose(&holders[worst], &holders[least], mean, gain) else {
            break;
        };
        let item = holders[worst].shards.swap_remove(index);
        targets.push(Target {
            shard: item.shard,
            upstream: holders[least].upstream.clone(),
        });
        // A shard moves once at a time.
        holders[least].fixed += item.load;
    }
    targets
}

/// The holders with the highest and the lowest level, if they are two.
fn extremes(holders: &[Holder]) -> Option<(usize, usize)> {
    let levels = || {
        holders
            .iter()
            .map(|holder| holder.bin().level())
            .enumerate()
    };
    let worst = levels().max_by(|a, b| a.1.total_cmp(&b.1))?.0;
    let least = levels().min_by(|a, b| a.1.total_cmp(&b.1))?.0;
    (worst != least).then_some((worst, least))
}

/// The shard whose move from `from` to `to` leaves both nearest to the mean and the higher one
/// lower than before, by `gain` times the mean at least.
fn choose(from: &Holder, to: &Holder, mean: f64, gain: f64) -> Option<usize> {
    let before = from.bin().level();
    let far = |item: &Item| {
        let left = from.bin().with(-item.load).level();
        let right = to.bin().with(item.load).level();
        (left - mean).abs().max((right - mean).abs())
    };
    let helps = |item: &Item| {
        let left = from.bin().with(-item.load).level();
        let right = to.bin().with(item.load).level();
        let after = left.max(right);
        after < before && before - after >= gain * mean
    };
    let items = from.shards.iter().enumerate();
    items
        .filter(|(_, item)| helps(item))
        .min_by(|a, b| far(a.1).total_cmp(&far(b.1)))
        .map(|(index, _)| index)
}

impl Holder {
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
    /// The load for each slot.
    fn level(&self) -> f64 {
        self.load / f64::from(self.slots.max(1))
    }

    /// The same with `load` more.
    fn with(&self, load: f64) -> Self {
        Self {
            load: self.load + load,
            ..self.clone()
        }
    }

    fn take(&mut self, shard: ShardIndex, load: f64) -> Target {
        self.load += load;
        Target {
            shard,
            upstream: self.upstream.clone(),
        }
    }
}

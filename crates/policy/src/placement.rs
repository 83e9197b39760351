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
    /// The upstream that had it last, which may still be warm for it.
    pub last: Option<UpstreamName>,
}

/// A shard and the upstream that it goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The shard.
    pub shard: ShardIndex,
    /// The upstream.
    pub upstream: UpstreamName,
}

/// Places shards that nobody holds: with their last upstream if it is there, else with the one that
/// has the least load for each slot. Empty if there are no bins.
#[must_use]
pub fn fill(mut bins: Vec<Bin>, mut items: Vec<Item>) -> Vec<Target> {
    items.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.shard.cmp(&b.shard)));
    let mut targets = Vec::with_capacity(items.len());
    // Those that stay are counted before the others choose.
    let (staying, going): (Vec<Item>, Vec<Item>) = items.into_iter().partition(|item| {
        let last = item.last.as_ref();
        last.is_some_and(|last| bins.iter().any(|bin| bin.upstream == *last))
    });
    for item in staying {
        let last = item.last;
        if let Some(bin) = bins
            .iter_mut()
            .find(|bin| Some(&bin.upstream) == last.as_ref())
        {
            targets.push(bin.take(item.shard, item.load));
        }
    }
    for item in going {
        let least = bins
            .iter_mut()
            .min_by(|a, b| a.after(item.load).total_cmp(&b.after(item.load)));
        if let Some(bin) = least {
            targets.push(bin.take(item.shard, item.load));
        }
    }
    targets
}

impl Bin {
    /// The load for each slot.
    fn level(&self) -> f64 {
        self.load / f64::from(self.slots.max(1))
    }

    /// The load for each slot with `load` more.
    fn after(&self, load: f64) -> f64 {
        self.level() + load / f64::from(self.slots.max(1))
    }

    fn take(&mut self, shard: ShardIndex, load: f64) -> Target {
        self.load += load;
        Target {
            shard,
            upstream: self.upstream.clone(),
        }
    }
}

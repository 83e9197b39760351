//! What the balance of shards, and of hot keys placed by themselves, would gain and cost.
//!
//! Counts seconds in place of a clock: each one draws requests from a Zipf law whose hot keys change,
//! and every few seconds [`rebalance`] decides as a group's leader does. Prints one line for each
//! way. Nothing here is part of the product.
//!
//! ```console
//! cargo run --release -p copperwell-policy --example hot_keys
//! ```

use std::collections::{HashMap, HashSet};

use copperwell_keyspace::ShardIndex;
use copperwell_policy::{
    placement::{Bound, Holder, Item, rebalance},
    sketch::Sketch,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Seconds of load that are counted, after [`WARM`].
const SECONDS: u64 = 480;
/// Seconds before anything is counted.
const WARM: u64 = 60;
/// Seconds over which imbalance is taken.
const WINDOW: u64 = 10;
/// Seconds in which a shard that moved stays.
const REST: u64 = 60;
/// Keys that the sketch keeps.
const KEPT: usize = 512;
/// A key is placed by itself from this part of an upstream's share on.
const PART: f64 = 0.05;
const SEEDS: u64 = 3;

/// The load.
#[derive(Clone, Copy)]
struct Load {
    upstreams: usize,
    /// Requests a second for each upstream.
    rate: usize,
    keys: usize,
    skew: f64,
    /// Seconds after which other keys are hot.
    change: u64,
}

/// How load is spread.
#[derive(Clone, Copy)]
struct Way {
    /// For each upstream.
    shards: usize,
    /// The most keys that are placed by themselves.
    split: usize,
    /// Seconds between decisions; zero for none.
    period: u64,
    half_life: f64,
    bound: Bound,
    /// What a unit without requests counts.
    base: f64,
}

/// What a run gave.
#[derive(Default)]
struct Score {
    /// The most loaded upstream against the mean, by window.
    windows: Vec<f64>,
    moves: u64,
    /// The part of the hottest key, in shares of an upstream, by window.
    floor: Vec<f64>,
}

/// What has an owner: a shard, or a key by itself.
struct Unit {
    owner: usize,
    load: f64,
    moved: Option<u64>,
}

fn main() {
    println!(
        "upstreams rate skew change shards/upstream split way: imbalance mean, p95; one key; moves/min"
    );
    let loads = [
        (4, 2, 0.9, u64::MAX),
        (4, 170, 0.9, u64::MAX),
        (4, 170, 0.9, 120),
        (4, 170, 1.1, 120),
        (12, 170, 1.1, 120),
    ];
    for (upstreams, rate, skew, change) in loads {
        let load = Load {
            upstreams,
            rate,
            keys: 5000 * upstreams / 4,
            skew,
            change,
        };
        std::thread::scope(|scope| {
            for shards in [16, 64, 256] {
                scope.spawn(move || compare(&load, shards));
            }
        });
    }
}

/// Prints all ways with so many shards for each upstream.
fn compare(load: &Load, shards: usize) {
    let way = |split, high, enough, gain, chance| Way {
        shards,
        split,
        period: 5,
        half_life: 20.0,
        bound: Bound {
            high,
            enough,
            low: 0.5,
            gain,
            chance,
            moves: 4,
        },
        base: 1.0,
    };
    let unmoved = Way {
        period: 0,
        ..way(0, 1.3, 1.15, 0.0, 0.0)
    };
    print(load, "static", &unmoved);
    for (high, enough) in [(1.3, 1.15), (1.15, 1.05)] {
        for gain in [0.0, 0.01, 0.02, 0.05] {
            let name = format!("{high}/{enough}/{gain}");
            print(load, &name, &way(0, high, enough, gain, 3.0));
        }
        let name = format!("{high}/{enough}/0.05");
        print(load, &name, &way(8, high, enough, 0.05, 3.0));
        print(load, &name, &way(72, high, enough, 0.05, 3.0));
    }
}

fn print(load: &Load, name: &str, way: &Way) {
    let mut all = Score::default();
    for seed in 1..=SEEDS {
        let score = run(load, way, seed);
        all.windows.extend(score.windows);
        all.floor.extend(score.floor);
        all.moves += score.moves;
    }
    all.windows.sort_by(f64::total_cmp);
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    let change = if load.change == u64::MAX {
        "never".to_owned()
    } else {
        format!("{}s", load.change)
    };
    println!(
        "{:>3} {:>3} {:.1} {change:>5} {:>5} {:>3} {name:<14} {:.3} {:.3}; {:.3}; {:.1}",
        load.upstreams,
        load.rate,
        load.skew,
        way.shards,
        way.split,
        mean(&all.windows),
        all.windows[all.windows.len() * 95 / 100],
        mean(&all.floor),
        all.moves as f64 * 60.0 / (SECONDS * SEEDS) as f64,
    );
}

fn run(load: &Load, way: &Way, seed: u64) -> Score {
    let mut rng = StdRng::seed_from_u64(seed);
    let law = law(load);
    let shards = way.shards * load.upstreams;
    let mut units: HashMap<ShardIndex, Unit> = HashMap::new();
    for shard in 0..shards {
        let unit = Unit {
            owner: shard % load.upstreams,
            load: 0.0,
            moved: None,
        };
        units.insert(shard as ShardIndex, unit);
    }
    let home = |key: usize| (mix(key as u64 + (seed << 32)) % shards as u64) as ShardIndex;
    let alone = |key: usize| (shards + key) as ShardIndex;
    let mut split: HashSet<usize> = HashSet::new();
    let mut sketch = Sketch::new(KEPT);
    let mut score = Score::default();
    let mut counts = vec![0_u64; load.upstreams];
    let mut hottest: HashMap<usize, u64> = HashMap::new();
    for second in 0..WARM + SECONDS {
        let era = second / load.change;
        for _ in 0..load.rate * load.upstreams {
            let draw: f64 = rng.random();
            let rank = law.partition_point(|sum| *sum < draw);
            let key = (rank + era as usize * 7919) % load.keys;
            let unit = if split.contains(&key) {
                alone(key)
            } else {
                home(key)
            };
            let unit = units.get_mut(&unit).expect("each key has a unit");
            unit.load += 1.0;
            counts[unit.owner] += 1;
            *hottest.entry(key).or_default() += 1;
            if way.split > 0 {
                sketch.add(&key.to_string());
            }
        }
        if (second + 1) % WINDOW == 0 {
            if second >= WARM {
                let sum: u64 = counts.iter().sum();
                let worst = |most: u64| most as f64 * load.upstreams as f64 / sum as f64;
                score
                    .windows
                    .push(worst(counts.iter().copied().max().unwrap_or(0)));
                score
                    .floor
                    .push(worst(hottest.values().copied().max().unwrap_or(0)));
            }
            counts.fill(0);
            hottest.clear();
        }
        if way.split > 0 && (second + 1) % way.half_life as u64 == 0 {
            sketch.fade();
        }
        if way.period == 0 || (second + 1) % way.period != 0 {
            continue;
        }
        // Close to a decay each second, and much cheaper.
        for unit in units.values_mut() {
            unit.load *= (-(way.period as f64) / way.half_life).exp2();
        }
        let mut moves = 0;
        if way.split > 0 {
            let share = sketch.total() as f64 / load.upstreams as f64;
            let hot = sketch.top(way.split);
            let hot = hot
                .iter()
                .filter(|hot| (hot.count - hot.error) as f64 > share * PART);
            let hot: HashSet<usize> = hot.map(|hot| hot.key.parse().expect("a number")).collect();
            for key in split.difference(&hot) {
                let unit = units.remove(&alone(*key)).expect("a split key has a unit");
                let shard = units.get_mut(&home(*key)).expect("each shard has a unit");
                shard.load += unit.load;
                moves += u64::from(shard.owner != unit.owner);
            }
            for key in hot.difference(&split) {
                let part = sketch
                    .top(way.split)
                    .iter()
                    .find(|one| *one.key == key.to_string())
                    .map_or(0.0, |one| one.count as f64 / sketch.total() as f64);
                let all: f64 = units.values().map(|unit| unit.load).sum();
                let shard = units.get_mut(&home(*key)).expect("each shard has a unit");
                let owner = shard.owner;
                let taken = (all * part).min(shard.load);
                shard.load -= taken;
                units.insert(
                    alone(*key),
                    Unit {
                        owner,
                        load: taken,
                        moved: None,
                    },
                );
            }
            split = hot;
        }
        let holders = (0..load.upstreams).map(|owner| holder(owner, &units, second, way.base));
        for target in rebalance(holders.collect(), &way.bound) {
            let unit = units.get_mut(&target.shard).expect("what moves has a unit");
            unit.owner = target.upstream[1..].parse().expect("a number");
            unit.moved = Some(second);
            moves += 1;
        }
        if second >= WARM {
            score.moves += moves;
        }
    }
    score
}

fn holder(owner: usize, units: &HashMap<ShardIndex, Unit>, now: u64, base: f64) -> Holder {
    let mut holder = Holder {
        upstream: format!("u{owner}").into(),
        slots: 2,
        fixed: 0.0,
        shards: Vec::new(),
    };
    let mut mine: Vec<_> = units
        .iter()
        .filter(|(_, unit)| unit.owner == owner)
        .collect();
    mine.sort_by_key(|(shard, _)| **shard);
    for (shard, unit) in mine {
        let load = base + unit.load;
        if unit.moved.is_some_and(|moved| now < moved + REST) {
            holder.fixed += load;
        } else {
            holder.shards.push(Item {
                shard: *shard,
                load,
                next: None,
            });
        }
    }
    holder
}

/// Sums of the ranks' chances.
fn law(load: &Load) -> Vec<f64> {
    let weight = |rank: usize| (rank as f64).powf(-load.skew);
    let all: f64 = (1..=load.keys).map(weight).sum();
    let mut sum = 0.0;
    let sums = (1..=load.keys).map(|rank| {
        sum += weight(rank) / all;
        sum
    });
    let mut sums: Vec<f64> = sums.collect();
    if let Some(last) = sums.last_mut() {
        *last = 1.0;
    }
    sums
}

/// Spreads a key's number over all numbers.
fn mix(number: u64) -> u64 {
    let mixed = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb) >> 7
}

//! Simulates the gain and the cost of rebalancing shards, and of placing hot keys individually.
//!
//! Simulated time advances in seconds: each one draws requests from a Zipf distribution whose hot
//! keys change, and every few seconds [`rebalance`] decides as a group's leader does. Prints one
//! line for each strategy. Nothing here is part of the product.
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

/// Seconds of load that are measured, after [`WARMUP_S`].
const MEASURED_S: u64 = 480;
/// Seconds of load before the measurement.
const WARMUP_S: u64 = 60;
/// Seconds over which imbalance is measured.
const WINDOW_S: u64 = 10;
/// Seconds for which a shard stays after it moved.
const MOVE_COOLDOWN_S: u64 = 60;
/// Keys that the sketch keeps.
const SKETCH_CAPACITY: usize = 512;
/// A key is placed individually if its load exceeds this fraction of an upstream's share.
const HOT_KEY_FRACTION: f64 = 0.05;
const SEEDS: u64 = 3;

/// The load of the simulation.
#[derive(Clone, Copy)]
struct Load {
    upstreams: usize,
    /// Requests per second for each upstream.
    rate: usize,
    keys: usize,
    skew: f64,
    /// Seconds after which other keys become hot.
    change: u64,
}

/// A strategy to spread the load.
#[derive(Clone, Copy)]
struct Strategy {
    /// Shards for each upstream.
    shards: usize,
    /// Maximum number of keys that are placed individually.
    split: usize,
    /// Seconds between rebalances; zero for none.
    period: u64,
    half_life: f64,
    bound: Bound,
    /// Load that a unit counts in addition to its requests.
    base: f64,
}

/// The result of a run.
#[derive(Default)]
struct Score {
    /// Load of the most loaded upstream relative to the mean, by window.
    windows: Vec<f64>,
    moves: u64,
    /// Load of the hottest key relative to the mean of the upstreams, by window.
    hottest_key: Vec<f64>,
}

/// A unit of placement: a shard, or an individual key.
struct Unit {
    owner: usize,
    load: f64,
    moved: Option<u64>,
}

fn main() {
    println!(
        "upstreams rate skew change shards/upstream split strategy: imbalance mean, p95; hottest key; moves/min"
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

/// Prints the results of all strategies with the given number of shards for each upstream.
fn compare(load: &Load, shards: usize) {
    let strategy = |split, high, target, min_gain, noise| Strategy {
        shards,
        split,
        period: 5,
        half_life: 20.0,
        bound: Bound {
            high,
            target,
            low: 0.5,
            min_gain,
            noise,
            max_moves: 4,
        },
        base: 1.0,
    };
    let fixed = Strategy {
        period: 0,
        ..strategy(0, 1.3, 1.15, 0.0, 0.0)
    };
    print(load, "static", &fixed);
    for (high, target) in [(1.3, 1.15), (1.15, 1.05)] {
        for min_gain in [0.0, 0.01, 0.02, 0.05] {
            let name = format!("{high}/{target}/{min_gain}");
            print(load, &name, &strategy(0, high, target, min_gain, 3.0));
        }
        let name = format!("{high}/{target}/0.05");
        print(load, &name, &strategy(8, high, target, 0.05, 3.0));
        print(load, &name, &strategy(72, high, target, 0.05, 3.0));
    }
}

fn print(load: &Load, name: &str, strategy: &Strategy) {
    let mut total = Score::default();
    for seed in 1..=SEEDS {
        let score = run(load, strategy, seed);
        total.windows.extend(score.windows);
        total.hottest_key.extend(score.hottest_key);
        total.moves += score.moves;
    }
    total.windows.sort_by(f64::total_cmp);
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
        strategy.shards,
        strategy.split,
        mean(&total.windows),
        total.windows[total.windows.len() * 95 / 100],
        mean(&total.hottest_key),
        total.moves as f64 * 60.0 / (MEASURED_S * SEEDS) as f64,
    );
}

fn run(load: &Load, strategy: &Strategy, seed: u64) -> Score {
    let mut rng = StdRng::seed_from_u64(seed);
    let distribution = cumulative_distribution(load);
    let shards = strategy.shards * load.upstreams;
    let mut units: HashMap<ShardIndex, Unit> = HashMap::new();
    for shard in 0..shards {
        let unit = Unit {
            owner: shard % load.upstreams,
            load: 0.0,
            moved: None,
        };
        units.insert(shard as ShardIndex, unit);
    }
    let shard_of = |key: usize| (hash(key as u64 + (seed << 32)) % shards as u64) as ShardIndex;
    let own_unit = |key: usize| (shards + key) as ShardIndex;
    let mut split: HashSet<usize> = HashSet::new();
    let mut sketch = Sketch::new(SKETCH_CAPACITY);
    let mut score = Score::default();
    let mut counts = vec![0_u64; load.upstreams];
    let mut hottest: HashMap<usize, u64> = HashMap::new();
    for second in 0..WARMUP_S + MEASURED_S {
        let phase = second / load.change;
        for _ in 0..load.rate * load.upstreams {
            let draw: f64 = rng.random();
            let rank = distribution.partition_point(|sum| *sum < draw);
            let key = (rank + phase as usize * 7919) % load.keys;
            let unit = if split.contains(&key) {
                own_unit(key)
            } else {
                shard_of(key)
            };
            let unit = units.get_mut(&unit).expect("each key has a unit");
            unit.load += 1.0;
            counts[unit.owner] += 1;
            *hottest.entry(key).or_default() += 1;
            if strategy.split > 0 {
                sketch.add(&key.to_string());
            }
        }
        if (second + 1) % WINDOW_S == 0 {
            if second >= WARMUP_S {
                let sum: u64 = counts.iter().sum();
                let relative = |max: u64| max as f64 * load.upstreams as f64 / sum as f64;
                score
                    .windows
                    .push(relative(counts.iter().copied().max().unwrap_or(0)));
                score
                    .hottest_key
                    .push(relative(hottest.values().copied().max().unwrap_or(0)));
            }
            counts.fill(0);
            hottest.clear();
        }
        if strategy.split > 0 && (second + 1) % strategy.half_life as u64 == 0 {
            sketch.decay();
        }
        if strategy.period == 0 || (second + 1) % strategy.period != 0 {
            continue;
        }
        // Approximates a decay in each second, at a much lower cost.
        for unit in units.values_mut() {
            unit.load *= (-(strategy.period as f64) / strategy.half_life).exp2();
        }
        let mut moves = 0;
        if strategy.split > 0 {
            let share = sketch.total() as f64 / load.upstreams as f64;
            let hot = sketch.top(strategy.split);
            let hot = hot
                .iter()
                .filter(|hot| (hot.count - hot.error) as f64 > share * HOT_KEY_FRACTION);
            let hot: HashSet<usize> = hot.map(|hot| hot.key.parse().expect("a number")).collect();
            for key in split.difference(&hot) {
                let unit = units
                    .remove(&own_unit(*key))
                    .expect("a split key has a unit");
                let shard = units
                    .get_mut(&shard_of(*key))
                    .expect("each shard has a unit");
                shard.load += unit.load;
                moves += u64::from(shard.owner != unit.owner);
            }
            for key in hot.difference(&split) {
                let fraction = sketch
                    .top(strategy.split)
                    .iter()
                    .find(|hot| *hot.key == key.to_string())
                    .map_or(0.0, |hot| hot.count as f64 / sketch.total() as f64);
                let total: f64 = units.values().map(|unit| unit.load).sum();
                let shard = units
                    .get_mut(&shard_of(*key))
                    .expect("each shard has a unit");
                let owner = shard.owner;
                let key_load = (total * fraction).min(shard.load);
                shard.load -= key_load;
                units.insert(
                    own_unit(*key),
                    Unit {
                        owner,
                        load: key_load,
                        moved: None,
                    },
                );
            }
            split = hot;
        }
        let holders = (0..load.upstreams).map(|owner| holder(owner, &units, second, strategy.base));
        for target in rebalance(holders.collect(), &strategy.bound) {
            let unit = units
                .get_mut(&target.shard)
                .expect("a moved shard has a unit");
            unit.owner = target.upstream[1..].parse().expect("a number");
            unit.moved = Some(second);
            moves += 1;
        }
        if second >= WARMUP_S {
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
    let mut own_units: Vec<_> = units
        .iter()
        .filter(|(_, unit)| unit.owner == owner)
        .collect();
    own_units.sort_by_key(|(shard, _)| **shard);
    for (shard, unit) in own_units {
        let load = base + unit.load;
        if unit
            .moved
            .is_some_and(|moved| now < moved + MOVE_COOLDOWN_S)
        {
            holder.fixed += load;
        } else {
            holder.shards.push(Item {
                shard: *shard,
                load,
                preferred: None,
            });
        }
    }
    holder
}

/// Returns the cumulative Zipf distribution over the ranks of the keys.
fn cumulative_distribution(load: &Load) -> Vec<f64> {
    let weight = |rank: usize| (rank as f64).powf(-load.skew);
    let total: f64 = (1..=load.keys).map(weight).sum();
    let mut sum = 0.0;
    let sums = (1..=load.keys).map(|rank| {
        sum += weight(rank) / total;
        sum
    });
    let mut sums: Vec<f64> = sums.collect();
    if let Some(last) = sums.last_mut() {
        *last = 1.0;
    }
    sums
}

/// Hashes a number.
fn hash(number: u64) -> u64 {
    let mixed = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb) >> 7
}

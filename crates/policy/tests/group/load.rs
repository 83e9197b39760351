//! Balance of a group against the naive way, on the same load.

use std::{collections::BTreeMap, time::Duration};

use crate::bench::Bench;
use copperwell_keyspace::{ShardIndex, shard};
use copperwell_policy::group::message::{Input, Load};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SERVERS: usize = 4;
const SHARDS: u32 = 128;
const KEYS: usize = 2000;
const SECONDS: usize = 300;

/// Requests of each key, by second.
type Trace = Vec<BTreeMap<String, u32>>;

/// Draws a load whose ranks follow a power law; after `change` seconds other keys are hot.
fn trace(seed: u64, rate: usize, skew: f64, change: usize) -> Trace {
    let mut rng = StdRng::seed_from_u64(seed);
    let weight = |rank: usize| (rank as f64).powf(-skew);
    let all: f64 = (1..=KEYS).map(weight).sum();
    let mut sum = 0.0;
    let sums: Vec<f64> = (1..=KEYS)
        .map(|rank| {
            sum += weight(rank) / all;
            sum
        })
        .collect();
    let second = |second: usize| {
        let mut requests = BTreeMap::new();
        for _ in 0..rate {
            let draw: f64 = rng.random();
            let rank = sums.partition_point(|sum| *sum < draw).min(KEYS - 1);
            let key = (rank + second / change * 791) % KEYS;
            *requests.entry(format!("k{key}")).or_default() += 1;
        }
        requests
    };
    (0..SECONDS).map(second).collect()
}

fn shard_of(key: &str) -> ShardIndex {
    shard::index_of(key, SHARDS)
}

/// The most loaded server's part of the requests against the mean, averaged over tens of seconds.
fn imbalance(windows: &[[u32; SERVERS]]) -> f64 {
    let of = |window: &[u32; SERVERS]| {
        let sum: u32 = window.iter().sum();
        let most = window.iter().max().copied().unwrap_or(0);
        f64::from(most) * SERVERS as f64 / f64::from(sum.max(1))
    };
    windows.iter().map(of).sum::<f64>() / windows.len() as f64
}

/// Imbalance of the group and of a hash modulo servers, and the group's moves.
fn compare(trace: &Trace) -> (f64, f64, usize) {
    let mut bench = Bench::new(SERVERS, SHARDS);
    bench.pass(Duration::from_secs(3));
    let mut owners = bench.owners();
    let (mut moves, mut own, mut naive) = (0, Vec::new(), Vec::new());
    for ten in trace.chunks(10) {
        let (mut ours, mut theirs) = ([0; SERVERS], [0; SERVERS]);
        for requests in ten {
            let mut loads: BTreeMap<ShardIndex, u32> = BTreeMap::new();
            for (key, count) in requests {
                let shard = shard_of(key);
                *loads.entry(shard).or_default() += count;
                ours[owners[&shard]] += count;
                theirs[shard_of(&format!("{key}/")) as usize % SERVERS] += count;
            }
            let load = |(shard, requests)| Load { shard, requests };
            bench.tell(Input::Load(loads.into_iter().map(load).collect()));
            bench.pass(Duration::from_secs(1));
            let now = bench.owners();
            moves += now
                .iter()
                .filter(|(shard, to)| owners[shard] != **to)
                .count();
            // What is on its way comes with the next second.
            owners.extend(now);
        }
        own.push(ours);
        naive.push(theirs);
    }
    (imbalance(&own), imbalance(&naive), moves)
}

#[test]
fn balance_beats_a_hash_at_few_moves() {
    let (mut own, mut naive, mut moves) = (0.0, 0.0, 0);
    for seed in 0..5 {
        let (ours, theirs, moved) = compare(&trace(seed, 300, 1.0, 100));
        own += ours / 5.0;
        naive += theirs / 5.0;
        moves += moved;
    }
    eprintln!("imbalance {own:.3}, naive {naive:.3}, {moves} moves");
    assert!(own < naive, "{own} {naive}");
    // Five runs of five minutes with three hot sets each.
    assert!(moves <= 5 * 3 * 4, "{moves} moves");
}

#[test]
fn load_that_is_even_moves_nothing_however_little_it_is() {
    for (seed, rate) in [(1, 1), (2, 4), (3, 40), (4, 400)] {
        let (_, _, moves) = compare(&trace(seed, rate, 0.0, SECONDS));
        assert_eq!(moves, 0, "{rate} requests a second");
    }
}

//! Load balance of a group compared with a hash modulo the servers, on the same load.

use std::{collections::BTreeMap, time::Duration};

use crate::harness::Harness;
use copperwell_keyspace::{ShardIndex, shard};
use copperwell_policy::group::message::{Input, Load};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SERVERS: usize = 4;
const SHARDS: u32 = 128;
const KEYS: usize = 2000;
const SECONDS: usize = 300;

/// The requests of each key in each second.
type Trace = Vec<BTreeMap<String, u32>>;

/// Generates a load whose keys follow a power law; the hot keys change every `change` seconds.
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

/// Returns the load of the most loaded server relative to the mean, averaged over the windows of
/// ten seconds.
fn imbalance(windows: &[[u32; SERVERS]]) -> f64 {
    let of = |window: &[u32; SERVERS]| {
        let sum: u32 = window.iter().sum();
        let most = window.iter().max().copied().unwrap_or(0);
        f64::from(most) * SERVERS as f64 / f64::from(sum.max(1))
    };
    windows.iter().map(of).sum::<f64>() / windows.len() as f64
}

/// Returns the imbalance of the group and of a hash modulo the servers, and the group's moves.
fn compare(trace: &Trace) -> (f64, f64, usize) {
    let mut harness = Harness::new(SERVERS, SHARDS);
    harness.advance(Duration::from_secs(3));
    let mut owners = harness.owners();
    let (mut moves, mut own, mut naive) = (0, Vec::new(), Vec::new());
    for window in trace.chunks(10) {
        let (mut ours, mut theirs) = ([0; SERVERS], [0; SERVERS]);
        for requests in window {
            let mut loads: BTreeMap<ShardIndex, u32> = BTreeMap::new();
            for (key, count) in requests {
                let shard = shard_of(key);
                *loads.entry(shard).or_default() += count;
                ours[owners[&shard]] += count;
                theirs[shard_of(&format!("{key}/")) as usize % SERVERS] += count;
            }
            let load = |(shard, requests)| Load { shard, requests };
            harness.handle(Input::Load(loads.into_iter().map(load).collect()));
            harness.advance(Duration::from_secs(1));
            let now = harness.owners();
            moves += now
                .iter()
                .filter(|(shard, to)| owners[shard] != **to)
                .count();
            // Shards that are moving are not routed now and keep the owner of the second before.
            owners.extend(now);
        }
        own.push(ours);
        naive.push(theirs);
    }
    (imbalance(&own), imbalance(&naive), moves)
}

#[test]
fn balance_beats_a_hash_with_few_moves() {
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
fn even_load_moves_nothing_at_any_rate() {
    for (seed, rate) in [(1, 1), (2, 4), (3, 40), (4, 400)] {
        let (_, _, moves) = compare(&trace(seed, rate, 0.0, SECONDS));
        assert_eq!(moves, 0, "{rate} requests a second");
    }
}

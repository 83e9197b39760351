//! Placement of shards.

use copperwell_policy::placement::{Assignment, Bin, Bound, Holder, Item, fill, rebalance};
use proptest::{collection::vec, prelude::*};
use test_case::test_case;

const BOUND: Bound = Bound {
    high: 1.3,
    target: 1.15,
    low: 0.5,
    min_gain: 0.0,
    noise: 0.0,
    max_moves: 100,
};

fn item(shard: u32, load: f64) -> Item {
    Item {
        shard,
        load,
        preferred: None,
    }
}

fn holder(upstream: u32, slots: u32, first: u32, loads: &[f64]) -> Holder {
    Holder {
        upstream: format!("u{upstream}").into(),
        slots,
        fixed: 0.0,
        shards: (first..)
            .zip(loads)
            .map(|(shard, load)| item(shard, *load))
            .collect(),
    }
}

/// Returns each holder's load per slot after the moves.
fn levels(holders: &[Holder], assignments: &[Assignment]) -> Vec<f64> {
    let all: Vec<&Item> = holders.iter().flat_map(|holder| &holder.shards).collect();
    let load = |shard: u32| all.iter().find(|item| item.shard == shard).unwrap().load;
    let level = |holder: &Holder| {
        let is_kept = |item: &&Item| {
            !assignments
                .iter()
                .any(|assignment| assignment.shard == item.shard)
        };
        let kept: f64 = holder
            .shards
            .iter()
            .filter(is_kept)
            .map(|item| item.load)
            .sum();
        let gained = assignments
            .iter()
            .filter(|assignment| assignment.upstream == holder.upstream);
        let gained: f64 = gained.map(|assignment| load(assignment.shard)).sum();
        (kept + gained) / f64::from(holder.slots)
    };
    holders.iter().map(level).collect()
}

#[test_case(&[1.0; 10], &[1.0; 10], 0; "even")]
#[test_case(&[1.0; 12], &[1.0; 10], 0; "within the bound")]
#[test_case(&[1.0; 16], &[1.0; 8], 3; "above the bound")]
#[test_case(&[1.0; 20], &[], 9; "an empty upstream")]
#[test_case(&[100.0], &[1.0], 0; "one hot shard alone")]
#[test_case(&[100.0, 1.0, 1.0], &[1.0; 3], 2; "one hot shard among others")]
fn rebalances_with_the_fewest_moves(left: &[f64], right: &[f64], moves: usize) {
    let holders = vec![holder(0, 2, 0, left), holder(1, 2, 100, right)];
    let assignments = rebalance(holders.clone(), &BOUND);
    assert_eq!(assignments.len(), moves, "{assignments:?}");
    assert!(
        assignments
            .iter()
            .all(|assignment| &*assignment.upstream == "u1")
    );
}

/// A shard moves only if the gain is large enough and the imbalance is not noise.
#[test_case(&[400.0, 400.0, 150.0, 150.0], &[400.0, 400.0], 1; "one move gains much")]
#[test_case(&[20.0; 60], &[20.0; 45], 0; "each move gains little")]
#[test_case(&[4.0, 4.0, 3.0], &[4.0, 4.0], 0; "too few requests to tell from noise")]
#[test_case(&[1000.0, 100.0], &[900.0], 0; "within the bound")]
fn a_move_needs_a_minimum_gain(left: &[f64], right: &[f64], moves: usize) {
    let holders = vec![holder(0, 2, 0, left), holder(1, 2, 100, right)];
    let bound = Bound {
        high: 1.1,
        target: 1.05,
        min_gain: 0.05,
        noise: 2.0,
        ..BOUND
    };
    assert_eq!(rebalance(holders, &bound).len(), moves);
}

#[test]
fn an_upstream_with_more_slots_gets_more() {
    let bins = [1, 3].map(|slots| Bin {
        upstream: format!("u{slots}").into(),
        slots,
        load: 0.0,
    });
    let assignments = fill(
        bins.to_vec(),
        (0..40).map(|shard| item(shard, 1.0)).collect(),
    );
    let on_larger = assignments
        .iter()
        .filter(|assignment| &*assignment.upstream == "u3");
    assert_eq!(on_larger.count(), 30);
}

#[test]
fn a_shard_goes_to_its_preferred_upstream() {
    let bins = [0, 1].map(|index| Bin {
        upstream: format!("u{index}").into(),
        slots: 2,
        load: f64::from(index) * 50.0,
    });
    let with_present = Item {
        preferred: Some("u1".into()),
        ..item(7, 1.0)
    };
    let with_absent = Item {
        preferred: Some("u9".into()),
        ..item(8, 1.0)
    };
    let assignments = fill(bins.to_vec(), vec![with_present, with_absent]);
    let upstream_of = |shard| {
        let assignment = assignments
            .iter()
            .find(|assignment| assignment.shard == shard);
        assignment.map(|assignment| assignment.upstream.to_string())
    };
    assert_eq!(upstream_of(7).as_deref(), Some("u1"));
    assert_eq!(upstream_of(8).as_deref(), Some("u0"));
}

proptest! {
    #[test]
    fn moves_never_raise_the_highest_level_and_move_a_shard_once(
        loads in vec(vec(0.1..20.0f64, 0..12), 2..8),
        slots in vec(1..7u32, 8),
        high in 1.0..2.0f64,
        min_gain in 0.0..0.2f64,
        noise in 0.0..3.0f64,
    ) {
        let bound = Bound { high, min_gain, noise, ..BOUND };
        let holders: Vec<Holder> = loads
            .iter()
            .enumerate()
            .map(|(index, loads)| {
                let index = u32::try_from(index).unwrap();
                holder(index, slots[index as usize], index * 100, loads)
            })
            .collect();
        let highest = |levels: &[f64]| levels.iter().copied().fold(0.0, f64::max);
        let before = highest(&levels(&holders, &[]));
        let assignments = rebalance(holders.clone(), &bound);
        let after = highest(&levels(&holders, &assignments));
        prop_assert!(after <= before + 1e-9, "{before} {after}");
        let mut shards: Vec<u32> = assignments.iter().map(|assignment| assignment.shard).collect();
        shards.sort_unstable();
        shards.dedup();
        prop_assert_eq!(shards.len(), assignments.len());
    }
}

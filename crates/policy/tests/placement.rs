//! Placement of shards.

use copperwell_policy::placement::{Bin, Bound, Holder, Item, Target, fill, rebalance};
use proptest::{collection::vec, prelude::*};
use test_case::test_case;

const BOUND: Bound = Bound {
    high: 1.3,
    enough: 1.15,
    low: 0.5,
    gain: 0.0,
    chance: 0.0,
    moves: 100,
};

fn item(shard: u32, load: f64) -> Item {
    Item {
        shard,
        load,
        next: None,
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

/// The load for each slot after the moves.
fn levels(holders: &[Holder], targets: &[Target]) -> Vec<f64> {
    let all: Vec<&Item> = holders.iter().flat_map(|holder| &holder.shards).collect();
    let load = |shard: u32| all.iter().find(|item| item.shard == shard).unwrap().load;
    let level = |holder: &Holder| {
        let goes = |item: &&Item| !targets.iter().any(|target| target.shard == item.shard);
        let kept: f64 = holder
            .shards
            .iter()
            .filter(goes)
            .map(|item| item.load)
            .sum();
        let come = targets
            .iter()
            .filter(|target| target.upstream == holder.upstream);
        let come: f64 = come.map(|target| load(target.shard)).sum();
        (kept + come) / f64::from(holder.slots)
    };
    holders.iter().map(level).collect()
}

#[test_case(&[1.0; 10], &[1.0; 10], 0; "even")]
#[test_case(&[1.0; 12], &[1.0; 10], 0; "within the bound")]
#[test_case(&[1.0; 16], &[1.0; 8], 3; "above the bound")]
#[test_case(&[1.0; 20], &[], 9; "an empty upstream")]
#[test_case(&[100.0], &[1.0], 0; "one hot shard alone")]
#[test_case(&[100.0, 1.0, 1.0], &[1.0; 3], 2; "one hot shard in company")]
fn the_least_moves(left: &[f64], right: &[f64], moves: usize) {
    let holders = vec![holder(0, 2, 0, left), holder(1, 2, 100, right)];
    let targets = rebalance(holders.clone(), &BOUND);
    assert_eq!(targets.len(), moves, "{targets:?}");
    assert!(targets.iter().all(|target| &*target.upstream == "u1"));
}

/// Only what gains much and is not chance moves.
#[test_case(&[400.0, 400.0, 150.0, 150.0], &[400.0, 400.0], 1; "one move gains much")]
#[test_case(&[20.0; 60], &[20.0; 45], 0; "each move gains little")]
#[test_case(&[4.0, 4.0, 3.0], &[4.0, 4.0], 0; "too few requests to tell from chance")]
#[test_case(&[1000.0, 100.0], &[900.0], 0; "within the bound")]
fn a_move_has_to_pay(left: &[f64], right: &[f64], moves: usize) {
    let holders = vec![holder(0, 2, 0, left), holder(1, 2, 100, right)];
    let bound = Bound {
        high: 1.1,
        enough: 1.05,
        gain: 0.05,
        chance: 2.0,
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
    let targets = fill(
        bins.to_vec(),
        (0..40).map(|shard| item(shard, 1.0)).collect(),
    );
    let many = targets.iter().filter(|target| &*target.upstream == "u3");
    assert_eq!(many.count(), 30);
}

#[test]
fn a_shard_goes_where_it_is_wanted() {
    let bins = [0, 1].map(|index| Bin {
        upstream: format!("u{index}").into(),
        slots: 2,
        load: f64::from(index) * 50.0,
    });
    let wanted = Item {
        next: Some("u1".into()),
        ..item(7, 1.0)
    };
    let gone = Item {
        next: Some("u9".into()),
        ..item(8, 1.0)
    };
    let targets = fill(bins.to_vec(), vec![wanted, gone]);
    let place = |shard| {
        let target = targets.iter().find(|target| target.shard == shard);
        target.map(|target| target.upstream.to_string())
    };
    assert_eq!(place(7).as_deref(), Some("u1"));
    assert_eq!(place(8).as_deref(), Some("u0"));
}

proptest! {
    #[test]
    fn moves_lower_the_worst_level_and_come_to_rest(
        loads in vec(vec(0.1..20.0f64, 0..12), 2..8),
        slots in vec(1..7u32, 8),
        high in 1.0..2.0f64,
        gain in 0.0..0.2f64,
        chance in 0.0..3.0f64,
    ) {
        let bound = Bound { high, gain, chance, ..BOUND };
        let holders: Vec<Holder> = loads
            .iter()
            .enumerate()
            .map(|(index, loads)| {
                let index = u32::try_from(index).unwrap();
                holder(index, slots[index as usize], index * 100, loads)
            })
            .collect();
        let worst = |levels: &[f64]| levels.iter().copied().fold(0.0, f64::max);
        let before = worst(&levels(&holders, &[]));
        let targets = rebalance(holders.clone(), &bound);
        let after = worst(&levels(&holders, &targets));
        prop_assert!(after <= before + 1e-9, "{before} {after}");
        let mut shards: Vec<u32> = targets.iter().map(|target| target.shard).collect();
        shards.sort_unstable();
        shards.dedup();
        prop_assert_eq!(shards.len(), targets.len());
    }
}

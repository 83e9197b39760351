//! Tests of rebalancing plans, and of when a snapshot is due.

use std::{sync::Arc, time::Duration};

use crate::sample::{group, manifest, record, runner, service, upstream};
use copperwell_keyspace::{
    balance::{TOLERANCE_PERCENT, plan},
    checkpoint::{GAP_WAIT_MIN, Need, PERIOD, RECORDS_MAX, RESTORE_DELAY_MIN, is_due},
    manifest::Owners,
    record::Body,
    replay::State,
};
use proptest::{collection::vec, prelude::*};
use test_case::test_case;

/// Builds a state with these slots in the groups `north` and `south`; `owners` says for each shard
/// whether `north` owns it.
fn state(slots: [u32; 2], owners: &[bool]) -> State {
    let mut list = Vec::new();
    for (number, (data_centre, slots)) in (1..).zip(["north", "south"].into_iter().zip(slots)) {
        let mut upstream = upstream(number, data_centre);
        upstream.slots = slots.max(1);
        upstream.drain = slots == 0;
        list.push(upstream);
    }
    let shards = owners.len() as u32;
    let first = manifest(0, vec![service("calendar", shards, list)]);
    let mut state = State::default();
    state.apply(0, &record("one", 1, Body::Manifest(first)));
    let owners: Owners = owners
        .iter()
        .map(|north| group(data_centre_of(*north)))
        .collect();
    state.owners.insert("calendar".into(), Arc::new(owners));
    state
}

fn data_centre_of(north: bool) -> &'static str {
    if north { "north" } else { "south" }
}

#[test]
fn a_plan_moves_the_fewest_shards_that_give_each_its_share() {
    let run = |(north, south, owners): (u32, u32, Vec<bool>)| {
        let state = state([north, south], &owners);
        let planned_moves = plan(&state);
        let moved: usize = planned_moves
            .iter()
            .map(|planned_move| planned_move.shards.len())
            .sum();
        let held = owners.iter().filter(|is_north| **is_north).count() as u64;
        let (total, slots) = (owners.len() as u64, u64::from(north + south));
        let exact = total * u64::from(north);
        let floor = exact / slots;
        // With two groups, the one shard left by rounding goes to the larger remainder.
        let target = floor + u64::from(exact % slots * 2 > slots);
        let distance = held.abs_diff(target);
        let ambiguous = exact % slots * 2 == slots;
        let slack = (target * TOLERANCE_PERCENT).div_ceil(100);
        if distance == 0 {
            prop_assert_eq!(moved, 0);
        }
        if distance > slack + 1 || (north == 0 && held > 0) {
            let fewest = distance - u64::from(ambiguous && distance > 0);
            prop_assert!(
                (fewest..=distance + 1).contains(&(moved as u64)),
                "{} moved",
                moved
            );
        }
        for planned_move in &planned_moves {
            for shard in &planned_move.shards {
                prop_assert_eq!(state.owner_of("calendar", *shard), Some(&planned_move.from));
            }
        }
        Ok(())
    };
    let cases = (0..5_u32, 1..5_u32, vec(any::<bool>(), 2..80));
    runner(2000).run(&cases, run).expect("no case fails");
}

#[test]
fn a_drained_group_gives_up_all_shards() {
    let planned_moves = plan(&state([0, 2], &[true, false, true, false]));
    assert_eq!(planned_moves.len(), 1);
    assert_eq!(
        (
            &*planned_moves[0].from.data_centre,
            &planned_moves[0].shards[..]
        ),
        ("north", &[0, 2][..])
    );
}

fn need(since_snapshot: Duration, records: u64) -> Need {
    Need {
        since_snapshot,
        records,
        ahead_for: None,
        gap_for: None,
    }
}

#[test_case(need(Duration::ZERO, 0) => false; "just seen")]
#[test_case(need(PERIOD - Duration::from_secs(1), RECORDS_MAX - 1) => false; "not yet")]
#[test_case(need(PERIOD, 0) => true; "long ago")]
#[test_case(need(Duration::ZERO, RECORDS_MAX) => true; "many records")]
#[test_case(Need { ahead_for: Some(RESTORE_DELAY_MIN / 2), ..need(PERIOD, 0) } => false; "ahead but early")]
#[test_case(Need { ahead_for: Some(RESTORE_DELAY_MIN), ..need(Duration::ZERO, 0) } => true; "ahead")]
#[test_case(Need { gap_for: Some(GAP_WAIT_MIN / 2), ..need(PERIOD, 0) } => false; "gap but early")]
#[test_case(Need { gap_for: Some(GAP_WAIT_MIN), ..need(Duration::ZERO, 0) } => true; "gap")]
fn a_snapshot_is_due(need: Need) -> bool {
    is_due(&need, PERIOD, 0.0)
}

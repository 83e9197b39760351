//! Tests of runs against a plain list.

use crate::sample::runner;
use bincode::{DefaultOptions, Options};
use copperwell_keyspace::Runs;
use proptest::{collection::vec, prelude::*};

/// Pairs of a number and a shard value; the number is a count of shards or the index of one.
type Values = Vec<(u32, u8)>;

/// Checks that the runs have the same shards and values as a plain list.
fn check_equal(runs: &Runs<u8>, plain: &[u8]) -> Result<(), TestCaseError> {
    prop_assert_eq!(runs.len() as usize, plain.len());
    prop_assert_eq!(runs.is_empty(), plain.is_empty());
    prop_assert!(runs.iter().eq(plain.iter()));
    for (shard, value) in (0..).zip(plain) {
        prop_assert_eq!(runs.get(shard), Some(value));
    }
    prop_assert_eq!(runs.get(plain.len() as u32), None);
    for value in 0..8 {
        let positions = (0..).zip(plain).filter(|(_, other)| **other == value);
        let positions: Vec<u32> = positions.map(|(shard, _)| shard).collect();
        prop_assert_eq!(runs.contains(&value), !positions.is_empty());
        prop_assert_eq!(runs.positions_of(&value), positions);
    }
    let equal = plain.chunk_by(|one, other| one == other);
    let equal: Vec<(usize, u8)> = equal.map(|same| (same.len(), same[0])).collect();
    let listed = runs.runs().map(|(shards, value)| (shards.len(), *value));
    prop_assert!(listed.eq(equal), "adjacent equal values are not one run");
    prop_assert_eq!(runs, &plain.iter().copied().collect());
    let bytes = DefaultOptions::new().serialize(runs).expect("plain data");
    let decoded: Runs<u8> = DefaultOptions::new().deserialize(&bytes).expect("runs");
    prop_assert_eq!(&decoded, runs);
    Ok(())
}

#[test]
fn runs_behave_like_a_list() {
    let run = |(parts, sets): (Values, Values)| {
        let (mut runs, mut plain) = (Runs::default(), Vec::new());
        for (count, value) in parts {
            plain.resize(plain.len() + count as usize, value);
            runs.extend_to(plain.len() as u32, value);
            check_equal(&runs, &plain)?;
        }
        for (shard, value) in sets {
            let current = plain.get_mut(shard as usize);
            prop_assert_eq!(runs.set(shard, value), current.is_some());
            if let Some(current) = current {
                *current = value;
            }
            check_equal(&runs, &plain)?;
        }
        Ok(())
    };
    let parts = vec((0..6_u32, 0..4_u8), 0..8);
    let cases = (parts, vec((0..30_u32, 0..8_u8), 0..60));
    runner(400).run(&cases, run).expect("no case fails");
}

#[test]
fn unused_values_are_dropped() {
    let mut runs = Runs::new(0_u64, 2);
    for value in 1..10_000 {
        runs.set(0, value);
    }
    let expected: Runs<u64> = [9_999, 0].into_iter().collect();
    assert_eq!(runs, expected);
    let bytes = bincode::serialize(&runs).expect("plain data");
    assert_eq!(bytes, bincode::serialize(&expected).expect("plain data"));
}

#[test]
fn any_bytes_are_runs_or_an_error() {
    let run = |bytes: Vec<u8>| {
        let decoded: Result<Runs<u8>, _> = DefaultOptions::new().deserialize(&bytes);
        if let Ok(runs) = decoded {
            let plain: Vec<u8> = runs.iter().copied().collect();
            prop_assert!(plain.len() <= 1 << 16);
            prop_assert_eq!(&runs, &plain.iter().copied().collect());
            let encoded = DefaultOptions::new().serialize(&runs).expect("plain data");
            let decoded_again: Runs<u8> =
                DefaultOptions::new().deserialize(&encoded).expect("runs");
            prop_assert_eq!(decoded_again, runs);
        }
        Ok(())
    };
    let short = vec(0..6_u8, 0..14);
    runner(4000).run(&short, run).expect("no case fails");
    runner(4000)
        .run(&vec(any::<u8>(), 0..40), run)
        .expect("no case fails");
}

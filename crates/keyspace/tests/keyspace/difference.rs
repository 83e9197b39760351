//! Tests that differences reproduce the manifests that they were made from.

use crate::sample::{manifest, runner, service, upstream};
use copperwell_keyspace::{
    difference::Difference,
    manifest::{DataCentre, Manifest},
    record::Body,
};
use proptest::{collection::vec, prelude::*, sample::Index};

/// The services of a random manifest: a number for the name, the queue, and upstreams, each with a
/// number for the name and slots.
type Numbers = Vec<(u8, u32, Vec<(u16, u32)>)>;

fn numbers() -> impl Strategy<Value = (Numbers, Vec<u8>)> {
    let upstreams = vec((0..8_u16, 1..3_u32), 0..8);
    let services = vec((0..5_u8, 1..3_u32, upstreams), 0..5);
    (services, vec(0..5_u8, 0..4))
}

/// Builds a manifest, which may be invalid: differences do not depend on validity.
fn manifest_of(replaces: u64, (services, data_centres): &(Numbers, Vec<u8>)) -> Manifest {
    let services = services.iter().map(|(name, queue, upstreams)| {
        let upstreams = upstreams.iter().map(|(number, slots)| {
            let mut upstream = upstream(*number, "north");
            upstream.slots = *slots;
            upstream
        });
        let mut service = service(&format!("service-{name}"), 8, upstreams.collect());
        service.limits.queue = *queue;
        service
    });
    let mut manifest = manifest(replaces, services.collect());
    manifest
        .data_centres
        .extend(data_centres.iter().map(|name| DataCentre {
            name: format!("place-{name}").into(),
            region: "ro".into(),
        }));
    manifest
}

#[test]
fn applying_a_difference_gives_the_new_manifest() {
    let run = |(old, new, other)| {
        let (old, new) = (manifest_of(0, &old), manifest_of(1, &new));
        let difference = Difference::between(&old, &new);
        let applied = difference.apply(&old);
        prop_assert_eq!(applied.as_ref(), Some(&new));
        prop_assert_eq!(difference.apply(&new), None, "the wrong version");
        let other = difference.apply(&manifest_of(0, &other));
        prop_assert!(other.is_none_or(|other| other == new));
        Ok(())
    };
    let cases = (numbers(), numbers(), numbers());
    runner(2000).run(&cases, run).expect("no case fails");
}

#[test]
fn a_damaged_difference_gives_the_new_manifest_or_none() {
    let run = |(old, new, positions): (_, _, Vec<(Index, u8)>)| {
        let (old, new) = (manifest_of(0, &old), manifest_of(1, &new));
        let difference = Difference::between(&old, &new);
        let mut bytes = bincode::serialize(&difference).expect("plain data");
        // The version and the digest come first; they stay intact, as they verify the result.
        for (position, byte) in positions {
            let position = 16 + position.index(bytes.len() - 16);
            bytes[position] = byte;
        }
        if let Ok(damaged) = bincode::deserialize::<Difference>(&bytes) {
            prop_assert!(damaged.apply(&old).is_none_or(|applied| applied == new));
        }
        Ok(())
    };
    let damage = vec((any::<Index>(), 0..4_u8), 1..4);
    let cases = (numbers(), numbers(), damage);
    runner(2000).run(&cases, run).expect("no case fails");
}

#[test]
fn a_small_change_is_a_small_difference() {
    let upstreams = |slots: u32| {
        let list = (0..20).map(|number| upstream(number, "north"));
        let mut list: Vec<_> = list.collect();
        list[7].slots = slots;
        list
    };
    let old = manifest(0, vec![service("calendar", 64, upstreams(2))]);
    let new = manifest(1, vec![service("calendar", 64, upstreams(3))]);
    let Body::Difference(difference) = Body::publication(Some(&old), &new) else {
        panic!("expected a difference, not a whole manifest");
    };
    let upstreams = &difference.changed[0].upstreams;
    assert_eq!(
        (&upstreams.removed[..], upstreams.added.len()),
        (&[7][..], 1)
    );
    assert!(difference.changed[0].settings.is_none());
}

#[test]
fn a_manifest_is_published_whole_without_a_shorter_difference() {
    let one = manifest(0, vec![service("calendar", 8, vec![upstream(1, "north")])]);
    let other = manifest(1, vec![service("stock", 8, vec![upstream(2, "south")])]);
    let empty = Manifest {
        replaces: 0,
        data_centres: Vec::new(),
        services: Vec::new(),
    };
    let bodies = [
        Body::publication(None, &one),
        Body::publication(Some(&one), &one),
        // Nothing is the same, so the difference is longer than the manifest.
        Body::publication(Some(&empty), &other),
    ];
    for body in bodies {
        assert!(matches!(body, Body::Manifest(_)), "{body:?}");
    }
}

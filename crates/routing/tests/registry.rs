//! The registry decides which upstreams are live from the lists of registrations.

use std::time::Duration;

use copperwell_routing::{
    evacuation::{Evacuations, Version},
    registry::{Changes, Registry, Upstream},
};
use test_case::test_case;
use tokio::time::Instant;

const INCARNATION: u64 = 1_000;

fn upstream(number: u16) -> Upstream {
    Upstream {
        id: format!("u{number}").into(),
        born: INCARNATION,
        service: "cups".into(),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        zone: "here".into(),
        slots: 2,
        is_draining: false,
        warmup: Duration::ZERO,
    }
}

fn list(numbers: impl IntoIterator<Item = u16>) -> Vec<Upstream> {
    numbers.into_iter().map(upstream).collect()
}

fn names(upstreams: &[std::sync::Arc<Upstream>]) -> Vec<&str> {
    upstreams.iter().map(|upstream| &*upstream.id).collect()
}

#[test]
fn missing_upstreams_are_removed_at_once() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let changes = registry.update(list(0..3), now);
    assert_eq!(changes.joined.len(), 3);
    let changes = registry.update(list(1..3), now);
    assert_eq!(names(&changes.gone), ["u0"]);
    assert_eq!(names(registry.of_service("cups")), ["u1", "u2"]);
    assert_eq!(registry.update(list(1..3), now), Changes::default());
}

#[test]
fn registrations_that_expired_together_are_kept_until_they_can_be_renewed() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.update(list(0..8), now);
    registry.record_read_failure();
    let recovered_at = now + Duration::from_secs(9);
    let changes = registry.update(list(0..1), recovered_at);
    assert_eq!((changes.gone.len(), changes.kept), (0, 7));
    assert_eq!(registry.len(), 8);
    // Most upstreams have registered again, so the missing one has left.
    let changes = registry.update(list(0..7), recovered_at + Duration::from_millis(2_300));
    assert_eq!(names(&changes.gone), ["u7"]);
}

/// A partitioned daemon reads the store again. Upstreams that left in the meantime must get no more requests;
/// no registration has expired, since only this daemon could not read the store.
#[test_case(1; "one")]
#[test_case(2; "two")]
fn few_missing_upstreams_after_a_failed_read_are_removed_at_once(gone: u16) {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.update(list(0..8), now);
    registry.record_read_failure();
    let changes = registry.update(list(gone..8), now + Duration::from_secs(12));
    assert_eq!(changes.gone.len(), usize::from(gone));
    assert_eq!(changes.kept, 0);
}

#[test]
fn list_of_another_daemon_is_adopted_unchanged() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.update(list(0..8), now);
    registry.record_read_failure();
    let changes = registry.replace(list(0..1), now);
    assert_eq!(changes.gone.len(), 7);
}

#[test]
fn new_incarnation_of_a_known_upstream_joins_again() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.update(list(0..1), now);
    let draining = Upstream {
        is_draining: true,
        ..upstream(0)
    };
    assert_eq!(registry.update([draining.clone()], now).draining.len(), 1);
    // A change is reported once.
    assert_eq!(registry.update([draining], now), Changes::default());
    let restarted = Upstream {
        born: INCARNATION + 1,
        ..upstream(0)
    };
    let changes = registry.update([restarted], now);
    assert_eq!(names(&changes.joined), ["u0"]);
    assert!(changes.draining.is_empty() && changes.gone.is_empty());
}

const WARMUP: Duration = Duration::from_secs(3);

fn upstream_in(zone: &str, number: u16) -> Upstream {
    Upstream {
        zone: zone.into(),
        ..upstream(number)
    }
}

/// Returns evacuations as a read of the topic up to `offset` finds them.
fn evacuations(offset: u64, zones: &[&str]) -> Evacuations {
    Evacuations {
        version: Version { era: 0, offset },
        zones: zones.iter().map(|zone| (*zone).into()).collect(),
    }
}

fn evacuate(registry: &mut Registry, offset: u64, zones: &[&str], now: Instant) -> Changes {
    let warmups = [("cups".into(), WARMUP)].into_iter().collect();
    let changed = registry.set_evacuations(&evacuations(offset, zones), &warmups, now);
    changed.map(|(_, changes)| changes).unwrap_or_default()
}

fn draining(registry: &Registry) -> Vec<&str> {
    let upstreams = registry.of_service("cups").iter();
    let draining = upstreams.filter(|one| one.is_draining);
    draining.map(|one| &*one.id).collect()
}

/// Guards against upstreams of an evacuated data centre that get requests, that never get any again, or that count as
/// warm when they return.
#[test]
fn upstreams_of_an_evacuated_data_centre_stay_or_never_return() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let list = || {
        [
            upstream_in("a", 0),
            upstream_in("b", 1),
            upstream_in("c", 2),
        ]
    };
    registry.update(list(), now);
    let changes = evacuate(&mut registry, 1, &["a", "b"], now);
    assert_eq!(changes.draining.len(), 2);
    assert_eq!(draining(&registry), ["u0", "u1"]);
    // Lists that were read before or afterwards do not know of it.
    assert_eq!(registry.update(list(), now), Changes::default());
    registry.replace(list(), now);
    registry.apply_changes([upstream_in("a", 0), upstream_in("b", 3)], [], now);
    assert_eq!(draining(&registry), ["u0", "u1", "u3"]);
    // One ends, the other goes on.
    let changes = evacuate(&mut registry, 2, &["b"], now);
    assert_eq!(names(&changes.resumed), ["u0"]);
    assert_eq!(draining(&registry), ["u1", "u3"]);
    let second = Duration::from_secs(1);
    registry.update(list(), now + second);
    assert_eq!(registry.get("u0").unwrap().warmup, WARMUP - second);
    assert_eq!(registry.get("u2").unwrap().warmup, Duration::ZERO);
    registry.update(list(), now + WARMUP);
    assert_eq!(registry.get("u0").unwrap().warmup, Duration::ZERO);
    // It starts again while upstreams still warm up.
    evacuate(&mut registry, 3, &[], now + WARMUP);
    let changes = evacuate(&mut registry, 4, &["b"], now + WARMUP);
    assert_eq!(names(&changes.draining), ["u1"]);
    assert_eq!(changes.draining[0].warmup, Duration::ZERO);
}

/// Guards against an evacuation that is undone by a daemon that has read less of the topic.
#[test]
fn evacuation_is_undone_by_an_earlier_version() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.update([upstream(0), upstream(1)], now);
    evacuate(&mut registry, 5, &["here"], now);
    assert!(registry.is_evacuated("cups"));
    for offset in [0, 4, 5] {
        assert_eq!(
            evacuate(&mut registry, offset, &[], now),
            Changes::default()
        );
    }
    assert_eq!(draining(&registry), ["u0", "u1"]);
    // The store has come back from a copy, and counts from an earlier record on.
    let warmups = Default::default();
    let after = Evacuations {
        version: Version { era: 1, offset: 2 },
        ..Evacuations::default()
    };
    assert!(registry.set_evacuations(&after, &warmups, now).is_some());
    assert!(draining(&registry).is_empty() && !registry.is_evacuated("cups"));
}

/// Guards against the end of an evacuation that sends requests to an upstream that leaves for its own reasons.
#[test]
fn upstream_that_leaves_returns_with_its_data_centre() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let leaving = Upstream {
        is_draining: true,
        ..upstream(1)
    };
    registry.update([upstream(0), leaving, upstream(2)], now);
    registry.record_leaving(&"u0".into(), INCARNATION);
    evacuate(&mut registry, 1, &["here"], now);
    assert_eq!(draining(&registry), ["u0", "u1", "u2"]);
    let changes = evacuate(&mut registry, 2, &[], now);
    assert_eq!(names(&changes.resumed), ["u2"]);
    assert_eq!(draining(&registry), ["u0", "u1"]);
}

/// Guards against an upstream that others take for cold after it was found warm, against one that is listed as warm though
/// it was started again or warms up by its own registration, and against one that is warm after a later evacuation.
#[test]
fn upstream_found_warm_after_its_return_is_listed_as_cold_or_the_reverse() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let own = Duration::from_secs(1);
    let list = || {
        let cold = Upstream {
            warmup: own,
            ..upstream_in("a", 1)
        };
        [upstream_in("a", 0), cold, upstream_in("a", 2)]
    };
    registry.update(list(), now);
    evacuate(&mut registry, 1, &["a"], now);
    evacuate(&mut registry, 2, &[], now);
    let second = &**registry.get("u1").unwrap();
    assert_eq!(registry.listed_warmup(second), own);
    let left = registry.warmup_after_return(second, now);
    assert_eq!(left, Some((now, WARMUP)));
    let warm = ["u0", "u1", "gone"].map(|id| (id.into(), INCARNATION, now));
    assert!(registry.record_warm(&warm, now));
    assert!(!registry.record_warm(&[("u2".into(), INCARNATION + 1, now)], now));
    let warmup = |registry: &Registry, id: &str| registry.get(id).unwrap().warmup;
    for _ in 0..2 {
        assert_eq!(warmup(&registry, "u0"), Duration::ZERO);
        assert_eq!(warmup(&registry, "u1"), own);
        assert_eq!(warmup(&registry, "u2"), WARMUP);
        registry.update(list(), now);
    }
    let restarted = Upstream {
        born: INCARNATION + 1,
        ..upstream_in("a", 0)
    };
    registry.apply_changes([restarted], [], now);
    assert_eq!(warmup(&registry, "u0"), WARMUP);
    evacuate(&mut registry, 3, &["a"], now);
    assert!(!registry.record_warm(&warm, now));
    evacuate(&mut registry, 4, &[], now + Duration::from_millis(1));
    assert!(!registry.record_warm(&warm, now));
    assert_eq!(warmup(&registry, "u1"), WARMUP);
}

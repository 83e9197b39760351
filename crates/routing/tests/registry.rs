//! The registry decides which upstreams are live from the lists of registrations.

use std::time::Duration;

use copperwell_routing::registry::{Changes, Registry, Upstream};
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

//! The registry believes what upstreams say, and what their silence means.

use std::time::Duration;

use copperwell_routing::registry::{Changes, Registry, Upstream};
use test_case::test_case;
use tokio::time::Instant;

const BORN: u64 = 1_000;

fn upstream(number: u16) -> Upstream {
    Upstream {
        id: format!("u{number}").into(),
        born: BORN,
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
    upstreams.iter().map(|one| &*one.id).collect()
}

#[test]
fn what_the_list_lacks_is_gone_at_once() {
    let now = Instant::now();
    let mut registry = Registry::default();
    let changes = registry.take(list(0..3), now);
    assert_eq!(changes.joined.len(), 3);
    let changes = registry.take(list(1..3), now);
    assert_eq!(names(&changes.gone), ["u0"]);
    assert_eq!(names(registry.of("cups")), ["u1", "u2"]);
    assert_eq!(registry.take(list(1..3), now), Changes::default());
}

#[test]
fn registrations_that_lapsed_together_are_kept_until_they_can_be_back() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.take(list(0..8), now);
    registry.miss();
    let back = now + Duration::from_secs(9);
    let changes = registry.take(list(0..1), back);
    assert_eq!((changes.gone.len(), changes.kept), (0, 7));
    assert_eq!(registry.len(), 8);
    // Most have registered again, and what is missing now has left.
    let changes = registry.take(list(0..7), back + Duration::from_millis(2_300));
    assert_eq!(names(&changes.gone), ["u7"]);
}

/// A daemon that was cut off comes back: what left meanwhile gets no request any more, though
/// nothing that others see has lapsed.
#[test_case(1; "one")]
#[test_case(2; "two")]
fn few_that_are_missing_after_an_absence_are_gone_at_once(gone: u16) {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.take(list(0..8), now);
    registry.miss();
    let changes = registry.take(list(gone..8), now + Duration::from_secs(12));
    assert_eq!(changes.gone.len(), usize::from(gone));
    assert_eq!(changes.kept, 0);
}

#[test]
fn a_list_that_another_daemon_judged_is_taken_as_it_is() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.take(list(0..8), now);
    registry.miss();
    let changes = registry.adopt(list(0..1), now);
    assert_eq!(changes.gone.len(), 7);
}

#[test]
fn another_run_under_the_same_name_joins_anew() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.take(list(0..1), now);
    let draining = Upstream {
        is_draining: true,
        ..upstream(0)
    };
    assert_eq!(registry.take([draining.clone()], now).draining.len(), 1);
    // It is told once.
    assert_eq!(registry.take([draining], now), Changes::default());
    let reborn = Upstream {
        born: BORN + 1,
        ..upstream(0)
    };
    let changes = registry.take([reborn], now);
    assert_eq!(names(&changes.joined), ["u0"]);
    assert!(changes.draining.is_empty() && changes.gone.is_empty());
}

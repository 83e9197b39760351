//! Only requests that crash upstreams are refused, and then by all daemons.

use std::time::Duration;

use copperwell_routing::quarantine::{Crash, Quarantine};
use test_case::test_case;
use tokio::time::Instant;

const REQUEST: u64 = 7;

fn crash(upstream: &str, born: u64) -> Crash {
    Crash {
        request: REQUEST,
        upstream: upstream.into(),
        born,
    }
}

#[test_case(&[("a", 1), ("b", 1)], false; "two upstreams")]
#[test_case(&[("a", 1), ("b", 1), ("c", 1)], true; "three upstreams")]
#[test_case(&[("a", 1), ("a", 2), ("a", 3)], true; "three incarnations of one upstream")]
#[test_case(&[("a", 1), ("a", 1), ("a", 1), ("b", 1)], false; "one crash observed several times")]
fn request_is_refused_after_three_crashes(crashes: &[(&str, u64)], is_refused: bool) {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let newly_refused = crashes
        .iter()
        .filter(|(upstream, born)| quarantine.record_crash(crash(upstream, *born), now));
    assert_eq!(newly_refused.count(), usize::from(is_refused));
    assert_eq!(quarantine.refused_for(REQUEST, now).is_some(), is_refused);
    assert_eq!(quarantine.refused_for(REQUEST + 1, now), None);
    // The upstream may have been fixed, so the quarantine expires.
    let later = now + Duration::from_secs(61);
    assert_eq!(quarantine.refused_for(REQUEST, later), None);
}

/// A request that was merely in flight at a crash is answered elsewhere and must never be refused.
#[test]
fn answer_clears_a_request() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for upstream in ["a", "b", "c", "d", "e"] {
        assert!(!quarantine.record_crash(crash(upstream, 1), now));
        quarantine.clear(REQUEST);
    }
    assert!(quarantine.is_empty());
    assert_eq!(quarantine.refused_for(REQUEST, now), None);
}

/// Each daemon observes one crash, and all refuse the request once the leader has merged their reports.
#[test]
fn crashes_of_all_daemons_are_merged() {
    let now = Instant::now();
    let mut leader = Quarantine::default();
    let mut daemons = [(); 3].map(|()| Quarantine::default());
    let mut refused = Vec::new();
    for (daemon, upstream) in daemons.iter_mut().zip(["a", "b", "c"]) {
        assert!(!daemon.record_crash(crash(upstream, 1), now));
        refused.extend(leader.merge(daemon.take_unreported(), now));
        // Each observation is reported once.
        assert_eq!(daemon.take_unreported(), Default::default());
    }
    assert_eq!(refused, [REQUEST]);
    for daemon in &mut daemons {
        assert_eq!(daemon.refused_for(REQUEST, now), None);
        daemon.import(&leader.refused(now), now);
        assert!(daemon.refused_for(REQUEST, now).is_some());
        // A late answer does not lift the quarantine.
        daemon.clear(REQUEST);
        assert!(daemon.refused_for(REQUEST, now).is_some());
    }
}

#[test]
fn answer_at_another_daemon_clears_a_request() {
    let now = Instant::now();
    let (mut leader, mut other) = (Quarantine::default(), Quarantine::default());
    for upstream in ["a", "b"] {
        other.record_crash(crash(upstream, 1), now);
    }
    leader.merge(other.take_unreported(), now);
    other.clear(REQUEST);
    leader.merge(other.take_unreported(), now);
    assert!(!leader.record_crash(crash("c", 1), now));
}

/// Memory is bounded however many requests fail, and refused requests are not evicted by suspected ones.
#[test]
fn tracked_requests_are_bounded() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for upstream in ["a", "b", "c"] {
        quarantine.record_crash(crash(upstream, 1), now);
    }
    for request in 100..5_000 {
        let other = Crash {
            request,
            ..crash("a", 1)
        };
        quarantine.record_crash(other, now + Duration::from_secs(1));
    }
    assert!(quarantine.refused_for(REQUEST, now).is_some());
    quarantine.remove_expired(now + Duration::from_secs(90));
    assert!(quarantine.is_empty());
}

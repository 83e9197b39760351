//! Requests that crash upstreams are refused by all daemons, and no others.

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
#[test_case(&[("a", 1), ("a", 2), ("a", 3)], true; "three runs of one")]
#[test_case(&[("a", 1), ("a", 1), ("a", 1), ("b", 1)], false; "one crash seen several times")]
fn a_request_is_refused_after_three_crashes(crashes: &[(&str, u64)], is_refused: bool) {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let news = crashes
        .iter()
        .filter(|(upstream, born)| quarantine.crash(crash(upstream, *born), now));
    assert_eq!(news.count(), usize::from(is_refused));
    assert_eq!(quarantine.refuses(REQUEST, now).is_some(), is_refused);
    assert_eq!(quarantine.refuses(REQUEST + 1, now), None);
    // It may be mended some day.
    let later = now + Duration::from_secs(61);
    assert_eq!(quarantine.refuses(REQUEST, later), None);
}

/// What merely ran beside a crash is answered elsewhere, and never refused.
#[test]
fn an_answer_clears_a_request() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for upstream in ["a", "b", "c", "d", "e"] {
        assert!(!quarantine.crash(crash(upstream, 1), now));
        quarantine.clear(REQUEST);
    }
    assert!(quarantine.is_empty());
    assert_eq!(quarantine.refuses(REQUEST, now), None);
}

/// Each daemon sees one crash; all refuse the request then, and one that has not heard keeps nothing.
#[test]
fn daemons_add_up_what_they_see() {
    let now = Instant::now();
    let mut leader = Quarantine::default();
    let mut daemons = [(); 3].map(|()| Quarantine::default());
    let mut refused = Vec::new();
    for (daemon, upstream) in daemons.iter_mut().zip(["a", "b", "c"]) {
        assert!(!daemon.crash(crash(upstream, 1), now));
        refused.extend(leader.merge(daemon.take_untold(), now));
        // It is told once.
        assert_eq!(daemon.take_untold(), Default::default());
    }
    assert_eq!(refused, [REQUEST]);
    for daemon in &mut daemons {
        assert_eq!(daemon.refuses(REQUEST, now), None);
        daemon.adopt(&leader.refused(now), now);
        assert!(daemon.refuses(REQUEST, now).is_some());
        // An answer that was on its way changes nothing any more.
        daemon.clear(REQUEST);
        assert!(daemon.refuses(REQUEST, now).is_some());
    }
}

#[test]
fn an_answer_elsewhere_clears_a_request_for_all() {
    let now = Instant::now();
    let (mut leader, mut other) = (Quarantine::default(), Quarantine::default());
    for upstream in ["a", "b"] {
        other.crash(crash(upstream, 1), now);
    }
    leader.merge(other.take_untold(), now);
    other.clear(REQUEST);
    leader.merge(other.take_untold(), now);
    assert!(!leader.crash(crash("c", 1), now));
}

/// However many requests fail, memory is bounded, and what is refused stays so.
#[test]
fn only_so_many_are_remembered() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for upstream in ["a", "b", "c"] {
        quarantine.crash(crash(upstream, 1), now);
    }
    for request in 100..5_000 {
        let one = Crash {
            request,
            ..crash("a", 1)
        };
        quarantine.crash(one, now + Duration::from_secs(1));
    }
    assert!(quarantine.refuses(REQUEST, now).is_some());
    quarantine.tidy(now + Duration::from_secs(90));
    assert!(quarantine.is_empty());
}

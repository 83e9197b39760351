//! Which list of upstreams a daemon uses, and when it reads the store for it.

use std::{sync::atomic::Ordering, time::Duration};

use crate::{Fixture, upstream};
use copperwell_assignment::{
    driver::Environment,
    exchange::{Client, Request, Server},
    store_state::{Delta, ListVersion, UpstreamList},
    table::Version,
};
use copperwell_gateway::{View, view::ReadStart};
use copperwell_routing::registry::Upstream;
use test_case::test_case;
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};

/// Changes of the leader's list must not be applied to a list that was read from the store in the meantime.
#[tokio::test(start_paused = true)]
async fn changes_of_another_list_are_not_applied() {
    let fixture = Fixture::start().await;
    let version = |number| ListVersion { run: 9, number };
    let delta = |list, upstreams| Delta {
        configuration: 1,
        difference: None,
        list,
        age: Duration::ZERO,
        upstreams: Some(upstreams),
    };
    let removal = || UpstreamList::Changed {
        from: version(1),
        changed: Vec::new(),
        gone: vec!["u1".into()],
    };
    let other = Upstream {
        id: "u2".into(),
        ..upstream()
    };
    let whole = UpstreamList::Whole(vec![upstream(), other]);
    fixture.view.apply_update(delta(version(1), whole));
    assert_eq!(fixture.view.versions().1, version(1));
    // No updates arrive from the leader, so the list is read from the store.
    sleep(Duration::from_secs(3)).await;
    assert_eq!(fixture.view.versions().1, ListVersion::default());
    // A late update contains no list, since this daemon had the leader's list when it asked.
    let unchanged = Delta {
        upstreams: None,
        ..delta(version(1), removal())
    };
    fixture.view.apply_update(unchanged);
    assert_eq!(fixture.view.versions().1, ListVersion::default());
    fixture.view.apply_update(delta(version(2), removal()));
    assert_eq!(fixture.view.registry().len(), 1);
    assert_eq!(fixture.view.versions().1, ListVersion::default());
    assert!(fixture.view.is_complete());
    fixture
        .view
        .apply_update(delta(version(1), UpstreamList::Whole(vec![upstream()])));
    fixture.view.apply_update(delta(version(2), removal()));
    assert!(fixture.view.registry().is_empty());
}

/// A leader that is cut off from the store repeats its last list.
#[tokio::test(start_paused = true)]
async fn old_list_of_the_leader_replaces_one_that_was_read_since() {
    let fixture = Fixture::start().await;
    let version = ListVersion { run: 9, number: 3 };
    let stale = || Upstream {
        id: "stale".into(),
        ..upstream()
    };
    let delta = |age, upstreams| Delta {
        configuration: 1,
        difference: None,
        list: version,
        age,
        upstreams,
    };
    let whole = || Some(UpstreamList::Whole(vec![stale()]));
    // This daemon has read the store less than 600 ms ago.
    fixture
        .view
        .apply_update(delta(Duration::from_secs(2), whole()));
    assert!(fixture.view.registry().get("stale").is_none());
    // The leader does not send its list again and again.
    assert_eq!(fixture.view.versions().1, version);
    // The leader has read the store again, and found the same list.
    fixture.view.apply_update(delta(Duration::ZERO, None));
    assert_eq!(fixture.view.versions().1, ListVersion::default());
    assert!(fixture.view.registry().get("stale").is_none());
    fixture.view.apply_update(delta(Duration::ZERO, whole()));
    assert_eq!(fixture.view.versions().1, version);
    assert!(fixture.view.registry().get("stale").is_some());
}

/// The leader need not send its whole list to a daemon that finds the same one in the store.
#[tokio::test(start_paused = true)]
async fn list_of_the_leader_is_asked_for_again_though_the_store_has_the_same() {
    let fixture = Fixture::start().await;
    let list = ListVersion { run: 9, number: 1 };
    fixture.receive_updates(1, Duration::from_secs(1)).await;
    sleep(Duration::from_secs(3)).await;
    assert!(fixture.source.list_reads.load(Ordering::Relaxed) > 1);
    assert_eq!(fixture.view.versions().1, list);
}

#[test_case(0, 10; "the store answers at once")]
#[test_case(400, 8; "it is slow")]
#[test_case(900, 4; "it is very slow")]
#[tokio::test(start_paused = true)]
async fn slow_store_is_read_again_at_once(delay_ms: u64, reads_max: usize) {
    let fixture = Fixture::start().await;
    fixture
        .source
        .list_delay_ms
        .store(delay_ms, Ordering::Relaxed);
    sleep(Duration::from_secs(2)).await;
    fixture.source.list_reads.store(0, Ordering::Relaxed);
    sleep(Duration::from_secs(6)).await;
    let reads = fixture.source.list_reads.load(Ordering::Relaxed);
    assert!((reads_max - 2..=reads_max).contains(&reads), "{reads}");
}

#[tokio::test(start_paused = true)]
async fn every_daemon_reads_the_list_while_the_leader_has_an_old_one() {
    let fixture = Fixture::start().await;
    fixture.receive_updates(1, Duration::from_secs(4)).await;
    let successor = ([127, 0, 0, 1], 9).into();
    fixture.view.keys.successors.send_replace(vec![successor]);
    let reads = fixture.source.list_reads.load(Ordering::Relaxed);
    for age_ms in (0..6_000).step_by(150) {
        fixture.view.apply_update(Delta {
            configuration: 1,
            difference: None,
            list: ListVersion { run: 9, number: 1 },
            age: Duration::from_millis(age_ms),
            upstreams: None,
        });
        if fixture.view.is_list_late() {
            fixture.view.apply_successor_list(Delta {
                configuration: 1,
                difference: None,
                list: ListVersion { run: 8, number: 2 },
                age: Duration::from_millis(100),
                upstreams: Some(UpstreamList::Whole(vec![upstream()])),
            });
        }
        sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(fixture.source.list_reads.load(Ordering::Relaxed), reads);
}

/// The leader is cut off from the store, a successor reads the list, and then leads.
#[tokio::test(start_paused = true)]
async fn list_of_a_successor_is_lost_when_it_leads() {
    let fixture = Fixture::start().await;
    let view = &fixture.view;
    let version = |run, number| ListVersion { run, number };
    let delta = |list, age_ms, upstreams| Delta {
        configuration: 1,
        difference: None,
        list,
        age: Duration::from_millis(age_ms),
        upstreams,
    };
    let named = |id: &str| Upstream {
        id: id.into(),
        ..upstream()
    };
    let whole = |id| Some(UpstreamList::Whole(vec![named(id)]));
    let changed = |from, id| {
        Some(UpstreamList::Changed {
            from,
            changed: vec![named(id)],
            gone: Vec::new(),
        })
    };
    sleep(Duration::from_secs(1)).await;
    view.apply_update(delta(version(9, 1), 0, whole("a")));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(view.known_list(), version(9, 1));
    let list = changed(version(9, 1), "b");
    assert!(view.apply_successor_list(delta(version(8, 2), 50, list)));
    assert_eq!(view.known_list(), version(8, 2));
    // An older list is not taken, whoever tells it.
    assert!(!view.apply_successor_list(delta(version(7, 4), 300, whole("old"))));
    view.apply_update(delta(version(9, 1), 1_000, None));
    assert_eq!(view.versions().1, version(9, 1));
    sleep(Duration::from_millis(300)).await;
    // The successor leads, and does not know yet which list this daemon has.
    view.apply_update(delta(version(8, 3), 0, changed(version(9, 1), "c")));
    assert_eq!(view.versions().1, version(8, 2));
    view.apply_update(delta(version(8, 3), 0, changed(version(8, 2), "c")));
    assert_eq!(view.versions().1, version(8, 3));
    let registry = view.registry();
    assert!(["a", "b", "c"].iter().all(|id| registry.get(id).is_some()));
    assert_eq!(registry.len(), 3);
}

/// Guards against requests to upstreams that have left: a daemon that was cut off from the store keeps them for a
/// while, and the others take them back as the list of a read that has just started.
#[tokio::test]
async fn upstreams_that_a_successor_keeps_are_taken_back_by_all() {
    let named = |id: &str| Upstream {
        id: id.into(),
        ..upstream()
    };
    let ids = |upstreams: &Option<UpstreamList>| match upstreams {
        Some(UpstreamList::Whole(all)) => all.iter().map(|one| one.id.to_string()).collect(),
        _ => Vec::new(),
    };
    let view = View::new(1, "here".into(), crate::ALLOWANCE);
    let start = || ReadStart {
        boot: Duration::from_secs(1),
        at: Instant::now(),
    };
    let (server, _reports) = Server::new(&view.keys);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(server.serve(listener));
    let client = Client::connect(address).await.unwrap();
    let ask = || async {
        let request = Request {
            from: "front-2".into(),
            strength: 1_000,
            knows: Version::default(),
            base: None,
            address,
            configuration: 0,
            announced: 0,
            list: ListVersion::default(),
            store_age: None,
            reports: Vec::new(),
            quarantine: 0,
            limits: Vec::new(),
            limits_version: 0,
        };
        client.exchange(request).await.unwrap().delta
    };
    view.update_upstreams(["a", "b", "c", "d"].map(named), start());
    let delta = ask().await.unwrap();
    assert_eq!(ids(&delta.upstreams), ["a", "b", "c", "d"]);
    view.record_list_failure();
    assert_eq!(view.update_upstreams([named("a")], start()).kept, 3);
    let kept = ask().await;
    assert!(kept.is_none(), "{kept:?}");
    assert_eq!(view.registry().len(), 4);
    while view.update_upstreams([named("a")], start()).kept > 0 {
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(ids(&ask().await.unwrap().upstreams), ["a"]);
}

/// Waits until a read of the list starts, which takes `delay_ms` and some.
async fn wait_for_read(fixture: &Fixture, delay_ms: u64) {
    let source = &fixture.source;
    source.list_delay_ms.store(delay_ms, Ordering::Relaxed);
    let reads = source.list_reads.load(Ordering::Relaxed);
    while source.list_reads.load(Ordering::Relaxed) == reads {
        sleep(Duration::from_millis(1)).await;
    }
}

fn draining() -> Upstream {
    Upstream {
        is_draining: true,
        ..upstream()
    }
}

fn whole(upstream: Upstream) -> Delta {
    Delta {
        configuration: 1,
        difference: None,
        list: ListVersion { run: 9, number: 1 },
        age: Duration::ZERO,
        upstreams: Some(UpstreamList::Whole(vec![upstream])),
    }
}

#[tokio::test(start_paused = true)]
async fn list_that_was_read_before_replaces_the_one_of_the_leader() {
    let fixture = Fixture::start().await;
    wait_for_read(&fixture, 900).await;
    sleep(Duration::from_millis(100)).await;
    fixture.view.apply_update(whole(draining()));
    sleep(Duration::from_millis(850)).await;
    let registry = fixture.view.registry();
    assert!(registry.get("u1").unwrap().is_draining);
}

#[tokio::test(start_paused = true)]
async fn list_counts_as_young_at_the_end_of_a_long_read() {
    let fixture = Fixture::start().await;
    wait_for_read(&fixture, 900).await;
    sleep(Duration::from_millis(910)).await;
    let age = fixture.view.upstreams_age().unwrap();
    assert!(age >= Duration::from_millis(900), "{age:?}");
    let delta = fixture
        .view
        .keys
        .store_state
        .delta_for(0, ListVersion::default());
    let age = delta.unwrap().age;
    assert!(age >= Duration::from_millis(900), "{age:?}");
}

#[test_case(300, 1_000; "slow")]
#[test_case(700, 1_400; "slower")]
#[test_case(1_300, 1_800; "slowest")]
#[tokio::test(start_paused = true)]
async fn daemon_that_reads_for_others_waits_for_a_slow_store(delay_ms: u64, age_max_ms: u64) {
    let fixture = Fixture::start().await;
    let reads_for_others = &fixture.view.keys.reads_for_others;
    reads_for_others.store(true, Ordering::Relaxed);
    let delay = &fixture.source.list_delay_ms;
    delay.store(delay_ms, Ordering::Relaxed);
    sleep(Duration::from_secs(4)).await;
    for _ in 0..200 {
        sleep(Duration::from_millis(50)).await;
        let age = fixture.view.upstreams_age().unwrap();
        assert!(age <= Duration::from_millis(age_max_ms), "{age:?}");
    }
}

/// The time until a request is sent, of which the list is 1.7 s old at first, with a `drain` of 2 s.
#[test_case(0, 0; "a read takes no time")]
#[test_case(300, 400; "a read is under way")]
#[test_case(5_000, 800; "the store does not answer")]
#[tokio::test(start_paused = true)]
async fn requests_do_not_wait_for_a_list(delay_ms: u64, wait_max_ms: u64) {
    let fixture = Fixture::start().await;
    fixture.receive_updates(1, Duration::from_secs(3)).await;
    let source = &fixture.source;
    source.list_delay_ms.store(delay_ms, Ordering::Relaxed);
    // No more updates: the daemon reads the store itself.
    let mut longest = Duration::ZERO;
    for _ in 0..150 {
        let asked_at = Instant::now();
        fixture
            .view
            .wait_for_list(asked_at + Duration::from_secs(9))
            .await;
        longest = longest.max(asked_at.elapsed());
        sleep(Duration::from_millis(20)).await;
    }
    assert!(longest <= Duration::from_millis(wait_max_ms), "{longest:?}");
}

#[test_case(false, 0, false; "without a key")]
#[test_case(true, 100, true; "with a key, for a short time")]
#[test_case(true, 250, false; "with a key")]
#[tokio::test(start_paused = true)]
async fn request_is_sent_to_an_upstream_that_has_left_since_it_was_chosen(
    has_key: bool,
    after_ms: u64,
    expected: bool,
) {
    let fixture = Fixture::start().await;
    let view = &fixture.view;
    view.apply_update(whole(upstream()));
    assert!(view.may_send(&upstream(), has_key));
    let list = ListVersion { run: 9, number: 2 };
    view.apply_update(Delta {
        list,
        ..whole(draining())
    });
    sleep(Duration::from_millis(after_ms)).await;
    assert_eq!(view.may_send(&upstream(), has_key), expected);
    // Another incarnation has its place.
    let restarted = Upstream {
        born: 2,
        ..upstream()
    };
    let list = ListVersion { run: 9, number: 3 };
    view.apply_update(Delta {
        list,
        ..whole(restarted)
    });
    assert!(!view.may_send(&upstream(), has_key));
}

/// A holder that drains gets requests for its keys only as long as the list before was young enough.
#[tokio::test(start_paused = true)]
async fn draining_holder_gets_requests_after_its_drain_time() {
    let fixture = Fixture::start().await;
    let view = &fixture.view;
    view.set_drain(Duration::from_secs(2));
    view.apply_update(whole(upstream()));
    fixture
        .source
        .list_delay_ms
        .store(60_000, Ordering::Relaxed);
    sleep(Duration::from_millis(1_750)).await;
    let list = ListVersion { run: 9, number: 2 };
    view.apply_update(Delta {
        list,
        ..whole(draining())
    });
    assert!(view.may_serve_keys("u1"));
    sleep(Duration::from_millis(100)).await;
    assert!(!view.may_serve_keys("u1"));
}

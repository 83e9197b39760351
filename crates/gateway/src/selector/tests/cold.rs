//! Requests to upstreams that warm up.

use std::time::Duration;

use super::{KEY, OTHER, publish_holder, reason, requirements, selector, upstream};
use crate::{
    selector::{Requirements, Selected, Selector},
    view::ReadStart,
};
use copperwell_assignment::exchange::{Server, Standing};
use copperwell_message::Reason;
use copperwell_routing::{
    configuration::{Configuration, Limits, Service, Warmup},
    registry::Upstream,
    warmup,
};
use test_case::test_case;
use tokio::time::{Instant, advance};

/// Has the service limit the requests to upstreams that warm up, as `cold` do for 3 s.
pub(super) fn warm_up(selector: &Selector, cold: &[&str]) {
    let view = &selector.view;
    let allowance = warmup::Allowance {
        overshoot: 1.5,
        slack: 8.0,
    };
    view.set_warmup_allowance(Some(allowance));
    let limits = Limits {
        head_bytes: 1 << 14,
        body_bytes: 1 << 20,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    let service = Service {
        name: "cups".into(),
        connections: 100,
        is_keyed: false,
        health_path: Some("/health".to_owned()),
        warmup: Some(Warmup {
            duration: Duration::from_secs(3),
            rate: 4.1,
        }),
    };
    view.update_configuration(Configuration::new(2, limits, [service], []));
    let listed = ["a", "b"].map(|id| Upstream {
        warmup: match cold.contains(&id) {
            true => Duration::from_secs(3),
            false => Duration::ZERO,
        },
        ..upstream(id)
    });
    let start = ReadStart {
        boot: Duration::from_secs(2),
        at: Instant::now(),
    };
    view.update_upstreams(listed, start);
}

/// Makes the daemon lead, so that it schedules the requests of all.
pub(super) fn lead(selector: &Selector) -> Server {
    let (server, _reports) = Server::new(&selector.view.keys);
    server.set_standing(Standing::Leads);
    server
}

/// Guards against requests to an upstream that warms up beside one that has room.
#[tokio::test(start_paused = true)]
async fn request_goes_to_an_upstream_that_warms_up_though_another_has_room() {
    let selector = selector();
    lead(&selector);
    warm_up(&selector, &["a"]);
    for _ in 0..100 {
        let requirements = requirements(OTHER, None);
        let selected = selector.select(&requirements, &[], None, None).await;
        assert_eq!(reason(selected), Ok("b".to_owned()));
    }
}

/// Guards against more requests than the limit from a daemon whose warm upstreams are full, and against an idle cold
/// upstream beside them.
#[tokio::test(start_paused = true)]
async fn full_upstream_sends_all_requests_to_one_that_warms_up() {
    let selector = selector();
    lead(&selector);
    warm_up(&selector, &["a"]);
    let warm = selector.view.registry().get("b").cloned().unwrap();
    let mut full = Vec::new();
    while let Ok(permit) = selector.try_permit(&warm, &requirements(OTHER, None)) {
        full.push(permit);
    }
    let mut reserved = 0;
    for _ in 0..100 {
        // It has no time to wait for a permit at the other one.
        let requirements = Requirements {
            objective: Instant::now(),
            ..requirements(OTHER, None)
        };
        match selector.select(&requirements, &[], None, None).await {
            Ok(Selected::WarmingUp(upstream, _, reservation)) => {
                assert!(selector.view.may_send_cold(&upstream, Some(&reservation)));
                assert!(!selector.view.may_send_cold(&upstream, None));
                reserved += 1;
            }
            other => assert_eq!(reason(other), Err(Reason::QueueFull)),
        }
    }
    assert!((1..=7).contains(&reserved), "{reserved}");
}

/// Guards against requests without a reservation where all upstreams warm up, and against callers that are not told
/// when to try again.
#[test_case(None, true; "without a key")]
#[test_case(Some(KEY), true; "with a key")]
#[test_case(None, false; "without a key and a leader")]
#[test_case(Some(KEY), false; "with a key, without a leader")]
#[tokio::test(start_paused = true)]
async fn requests_are_sent_without_reservations_while_all_upstreams_warm_up(
    key: Option<u16>,
    has_leader: bool,
) {
    let selector = selector();
    if has_leader {
        lead(&selector);
    }
    warm_up(&selector, &["a", "b"]);
    publish_holder(&selector, "a");
    let started_at = Instant::now();
    let mut reserved = 0;
    for _ in 0..100 {
        let requirements = Requirements {
            deadline: Instant::now() + Duration::from_millis(10),
            ..requirements(OTHER, key)
        };
        match selector.select(&requirements, &[], None, None).await {
            Ok(Selected::WarmingUp(..)) => reserved += 1,
            Ok(other) => panic!("{other:?}"),
            Err(rejection) => {
                assert_eq!(rejection.reason, Reason::UpstreamLimit);
                let after = rejection.retry_after.unwrap();
                assert!(after <= Duration::from_millis(3_250 * 3 / 2), "{after:?}");
            }
        }
        if started_at.elapsed() > Duration::from_millis(900) {
            break;
        }
    }
    let most = match (has_leader, key) {
        (false, _) => 0,
        (true, Some(_)) => 7,
        (true, None) => 14,
    };
    assert!(reserved <= most, "{reserved}");
    assert_eq!(reserved > 0, has_leader);
}

/// Guards against a limit where nothing asks for one: without the settings, requests go as before.
#[tokio::test(start_paused = true)]
async fn warm_up_is_limited_without_the_settings() {
    let selector = selector();
    warm_up(&selector, &["a", "b"]);
    selector.view.set_warmup_allowance(None);
    for _ in 0..100 {
        let requirements = requirements(OTHER, None);
        let selected = selector.select(&requirements, &[], None, None).await;
        assert!(matches!(selected, Ok(Selected::Upstream(..))));
    }
    let holder = selector.view.registry().get("a").cloned().unwrap();
    assert!(selector.view.may_send_cold(&holder, None));
    assert_eq!(selector.view.health_check_before(&holder, None), None);
}

/// Guards against a request that is sent on a new connection to a process which may have been started again.
#[tokio::test(start_paused = true)]
async fn upstream_is_not_confirmed_after_it_has_failed_or_was_silent() {
    let selector = selector();
    warm_up(&selector, &[]);
    let view = &selector.view;
    let holder = view.registry().get("a").cloned().unwrap();
    assert!(view.health_check_before(&holder, None).is_some());
    view.record_health(&holder, Some(Duration::ZERO), Instant::now());
    assert_eq!(view.health_check_before(&holder, None), None);
    advance(Duration::from_secs(1)).await;
    assert!(view.health_check_before(&holder, None).is_some());
    advance(Duration::from_millis(1)).await;
    view.record_heard(&holder, Instant::now());
    assert_eq!(view.health_check_before(&holder, None), None);
    // A process that ends closes its connections, also those that carry no request.
    let closed_at = Some(Instant::now());
    assert!(view.health_check_before(&holder, closed_at).is_some());
    advance(Duration::from_millis(1)).await;
    view.record_heard(&holder, Instant::now());
    assert_eq!(view.health_check_before(&holder, closed_at), None);
    view.record_unheard(&holder);
    assert!(view.health_check_before(&holder, None).is_some());
    advance(Duration::from_millis(1)).await;
    view.record_health(&holder, Some(Duration::from_secs(3)), Instant::now());
    assert!(!view.may_send_cold(&holder, None));
}

/// Guards against requests that leave the regions of their route for an upstream that warms up.
#[test_case(true; "a warm upstream in the region is full")]
#[test_case(false; "no upstream is in the region")]
#[tokio::test(start_paused = true)]
async fn request_leaves_its_regions_for_an_upstream_that_warms_up(has_upstream_in_region: bool) {
    let selector = selector();
    lead(&selector);
    warm_up(&selector, &["b"]);
    let view = &selector.view;
    let listed = [
        Upstream {
            zone: if has_upstream_in_region {
                "there"
            } else {
                "here"
            }
            .into(),
            ..upstream("a")
        },
        Upstream {
            warmup: Duration::from_secs(3),
            ..upstream("b")
        },
    ];
    let start = ReadStart {
        boot: Duration::from_secs(3),
        at: Instant::now(),
    };
    view.update_upstreams(listed, start);
    let zones = [("here", "north"), ("there", "south")];
    let zones = zones.map(|(zone, region)| (zone.into(), region.into()));
    view.set_regions(zones.into_iter().collect());
    let within = || Requirements {
        regions: vec!["south".into()],
        objective: Instant::now(),
        ..requirements(OTHER, None)
    };
    let warm = view.registry().get("a").cloned().unwrap();
    let mut full = Vec::new();
    while let Ok(permit) = selector.try_permit(&warm, &within()) {
        full.push(permit);
    }
    let selected = selector.select(&within(), &[], None, None).await;
    assert!(selected.is_err(), "sent to {:?}", reason(selected));
}

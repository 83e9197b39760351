use std::{sync::Arc, time::Duration};

use super::{Requirements, Selected, Selector};
use crate::{
    queue::Queues,
    rejection::Rejection,
    relay::Relay,
    view::{ReadStart, View},
};
use copperwell_assignment::{
    reach::Helper,
    table::{Table, Tables, Version},
};
use copperwell_message::Reason;
use copperwell_routing::{
    UpstreamId,
    budget::Allowance,
    evacuation::{self, Evacuations},
    quarantine::{CrashedRun, Fingerprint},
    registry::Upstream,
};
use test_case::test_case;
use tokio::time::{Instant, advance};

mod cold;
mod permits;
mod returned;

const CULPRIT: Fingerprint = 7;
const OTHER: Fingerprint = 8;
const KEY: u16 = 5;

fn upstream(id: &str) -> Upstream {
    Upstream {
        id: id.into(),
        born: 1,
        service: "cups".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "here".into(),
        slots: 2,
        is_draining: false,
        warmup: Duration::ZERO,
    }
}

fn selector() -> Arc<Selector> {
    let allowance = Allowance {
        ratio: 0.2,
        slack: 10.0,
        window: Duration::from_secs(10),
    };
    let view = Arc::new(View::new(1, "here".into(), allowance));
    let start = ReadStart {
        boot: Duration::from_secs(1),
        at: Instant::now(),
    };
    view.update_upstreams([upstream("a"), upstream("b")], start);
    let relay = Relay::new(view.keys.helpers.clone(), view.zone.clone());
    Arc::new(Selector {
        view,
        queues: Arc::new(Queues::new(Default::default())),
        relay: Arc::new(relay),
    })
}

fn requirements(request: Fingerprint, key: Option<u16>) -> Requirements {
    Requirements {
        request,
        service: "cups".into(),
        key,
        priority: 0,
        regions: Vec::new(),
        deadline: Instant::now() + Duration::from_secs(30),
        arrived: Instant::now(),
        objective: Instant::now() + Duration::from_secs(30),
        answer_deadline: Instant::now() + Duration::from_secs(30),
        work: Duration::from_millis(100),
    }
}

fn publish_holder(selector: &Selector, holder: &str) {
    let routing_tables = &selector.view.keys.routing_tables;
    routing_tables.publish(tables(holder, 1));
}

fn tables(holder: &str, number: u64) -> Tables {
    let holder: UpstreamId = holder.into();
    let table = Table::new([(0, Some(&holder))]);
    let version = Version { term: 1, number };
    let services = [("cups".into(), table)].into_iter().collect();
    Tables { version, services }
}

/// Records crashes of a request, one after the other, at other upstreams than those of the selector.
fn crash(selector: &Selector, request: Fingerprint, times: u64) {
    let runs = (0..times).map(|number| {
        let sent_at = Instant::now() + Duration::from_secs(number);
        let run = CrashedRun {
            upstream: format!("{request}-{number}").as_str().into(),
            born: 1,
            sent_at,
            lost_at: None,
        };
        (request, run)
    });
    selector.view.keys.quarantine.record_crashes(runs);
}

async fn convict(selector: &Selector, request: Fingerprint) {
    crash(selector, request, 3);
    advance(Duration::from_secs(1)).await;
    selector.view.keys.quarantine.maintain();
}

fn reason(result: Result<Selected, Rejection>) -> Result<String, Reason> {
    let id = result.map(|selected| match selected {
        Selected::Upstream(upstream, _) | Selected::WarmingUp(upstream, ..) => {
            upstream.id.to_string()
        }
        Selected::Relay(helper) => helper.to_string(),
    });
    id.map_err(|refusal| refusal.reason)
}

#[tokio::test(start_paused = true)]
async fn request_that_is_refused_while_it_waits_is_sent() {
    let selector = selector();
    let waiting = [CULPRIT, OTHER].map(|request| {
        let selector = selector.clone();
        let requirements = requirements(request, Some(KEY));
        tokio::spawn(async move { selector.select(&requirements, &[], None, None).await })
    });
    tokio::task::yield_now().await;
    convict(&selector, CULPRIT).await;
    publish_holder(&selector, "a");
    let [culprit, other] = waiting;
    assert_eq!(reason(culprit.await.unwrap()), Err(Reason::Quarantined));
    assert_eq!(reason(other.await.unwrap()), Ok("a".to_owned()));
}

#[tokio::test(start_paused = true)]
async fn suspects_share_the_holder_of_their_key() {
    let selector = selector();
    publish_holder(&selector, "a");
    crash(&selector, CULPRIT, 2);
    crash(&selector, OTHER, 2);
    let holder = selector.view.registry().get("a").cloned().unwrap();
    let send = selector.view.crash_tracker.start(&holder, CULPRIT.into());
    selector
        .view
        .loads()
        .record_start(&holder.id, Instant::now());
    let in_flight = selector.permit_of(&holder, &requirements(CULPRIT, Some(KEY)));
    let in_flight = in_flight.start();
    let waiting = tokio::spawn({
        let selector = selector.clone();
        let requirements = requirements(OTHER, Some(KEY));
        async move { selector.select(&requirements, &[], None, None).await }
    });
    advance(Duration::from_secs(5)).await;
    assert!(!waiting.is_finished());
    // What is not suspected does not wait.
    let free = requirements(9, Some(KEY));
    let free = selector.select(&free, &[], None, None).await;
    assert_eq!(reason(free), Ok("a".to_owned()));
    send.answered();
    drop(in_flight);
    assert_eq!(reason(waiting.await.unwrap()), Ok("a".to_owned()));
}

#[tokio::test(start_paused = true)]
async fn request_joins_a_suspect_though_another_upstream_is_free() {
    let selector = selector();
    crash(&selector, CULPRIT, 2);
    let suspected = selector.view.registry().get("a").cloned().unwrap();
    let _send = selector
        .view
        .crash_tracker
        .start(&suspected, CULPRIT.into());
    for _ in 0..100 {
        let requirements = requirements(OTHER, None);
        let selected = selector.select(&requirements, &[], None, None).await;
        assert_eq!(reason(selected), Ok("b".to_owned()));
    }
}

#[test_case(Some(KEY), 10, Ok("a"); "with a key, until soon")]
#[test_case(Some(KEY), 60, Err(Reason::UpstreamClosed); "with a key, past the deadline")]
#[test_case(None, 60, Ok("b"); "without a key")]
#[tokio::test(start_paused = true)]
async fn request_goes_to_an_upstream_that_wants_none(
    key: Option<u16>,
    closed_s: u64,
    expected: Result<&str, Reason>,
) {
    let selector = selector();
    publish_holder(&selector, "a");
    let now = Instant::now();
    let time = Duration::from_secs(closed_s);
    selector.view.loads().record_closed(&"a".into(), time, now);
    let requirements = requirements(OTHER, key);
    let selected = selector.select(&requirements, &[], None, None).await;
    assert_eq!(reason(selected), expected.map(str::to_owned));
    let waits = expected == Ok("a");
    assert_eq!(now.elapsed() >= time, waits);
}

#[tokio::test(start_paused = true)]
async fn request_is_sent_where_no_connection_can_be_opened() {
    let selector = selector();
    publish_holder(&selector, "a");
    selector.view.paths.record_connect(&"a".into(), false);
    let free = requirements(OTHER, None);
    let selected = selector.select(&free, &[], None, Some(&[])).await;
    assert_eq!(reason(selected), Ok("b".to_owned()));
    let address = ([127, 0, 0, 1], 7).into();
    let helper = |lost: &[&str]| Helper {
        name: "other".into(),
        address,
        zone: "here".into(),
        lost: lost.iter().map(|id| (*id).into()).collect(),
        leaving: Vec::new(),
    };
    let keyed = requirements(OTHER, Some(KEY));
    // Nobody else reaches the holder, so it may have ended.
    selector
        .view
        .keys
        .helpers
        .send_replace(vec![helper(&["a"])]);
    let selected = selector.select(&keyed, &[], None, Some(&[])).await;
    assert_eq!(reason(selected), Ok("a".to_owned()));
    selector
        .view
        .keys
        .helpers
        .send_replace(vec![helper(&["b"])]);
    let selected = selector.select(&keyed, &[], None, Some(&[])).await;
    assert_eq!(reason(selected), Ok(address.to_string()));
    // A daemon is tried once, and a relayed request is not relayed once more.
    for relays in [Some(&[address][..]), None] {
        let selected = selector.select(&keyed, &[], None, relays).await;
        assert_eq!(reason(selected), Ok("a".to_owned()));
    }
}

fn evacuate(selector: &Selector, offset: u64, zones: &[&str]) {
    selector.view.update_evacuations(&Evacuations {
        version: evacuation::Version { era: 0, offset },
        zones: zones.iter().map(|zone| (*zone).into()).collect(),
    });
}

/// Guards against requests that wait until their deadline, or are refused without a time to come again, while all
/// upstreams of their service are evacuated.
#[test_case(None; "without a key")]
#[test_case(Some(KEY); "with a key")]
#[tokio::test(start_paused = true)]
async fn request_waits_though_all_upstreams_are_evacuated(key: Option<u16>) {
    let selector = selector();
    // The key has no holder yet.
    let waiting = key.map(|_| {
        let selector = selector.clone();
        let requirements = requirements(OTHER, key);
        tokio::spawn(async move { selector.select(&requirements, &[], None, None).await })
    });
    tokio::task::yield_now().await;
    let started_at = Instant::now();
    evacuate(&selector, 1, &["here"]);
    let asked = requirements(OTHER, key);
    let rejection = selector.select(&asked, &[], None, None).await.unwrap_err();
    assert_eq!(rejection.reason, Reason::NoUpstream);
    assert!(rejection.retry_after >= Some(Duration::from_secs(1)));
    if let Some(waiting) = waiting {
        assert_eq!(reason(waiting.await.unwrap()), Err(Reason::NoUpstream));
    }
    assert!(started_at.elapsed() < Duration::from_secs(1));
    evacuate(&selector, 2, &[]);
    publish_holder(&selector, "a");
    let selected = selector.select(&asked, &[], None, None).await;
    assert!(reason(selected).is_ok());
}

/// Guards against requests that wait at a holder that has lost their key, until requests there end or their deadline
/// passes.
#[tokio::test(start_paused = true)]
async fn request_stays_queued_at_an_evacuated_holder() {
    let selector = selector();
    publish_holder(&selector, "a");
    let holder = selector.view.registry().get("a").cloned().unwrap();
    let mut in_flight = Vec::new();
    while let Ok(permit) = selector.try_permit(&holder, &requirements(OTHER, Some(KEY))) {
        in_flight.push(permit);
    }
    let waiting = [1, 2, 3].map(|_| {
        let selector = selector.clone();
        let requirements = requirements(OTHER, Some(KEY));
        tokio::spawn(async move { selector.select(&requirements, &[], None, None).await })
    });
    advance(Duration::from_secs(1)).await;
    let other: UpstreamId = "b".into();
    let table = Table::new([(0, Some(&other))]);
    let version = Version { term: 1, number: 2 };
    let services = [("cups".into(), table)].into_iter().collect();
    let tables = Tables { version, services };
    selector.view.keys.routing_tables.publish(tables);
    let moved_at = Instant::now();
    for waiting in waiting {
        assert_eq!(reason(waiting.await.unwrap()), Ok("b".to_owned()));
    }
    assert!(moved_at.elapsed() < Duration::from_secs(1));
    drop(in_flight);
}

/// Guards against requests that reach upstreams, or bodies that reach daemons, outside the regions of their route.
#[tokio::test(start_paused = true)]
async fn request_leaves_its_regions() {
    let selector = selector();
    let view = &selector.view;
    let there = Upstream {
        zone: "there".into(),
        ..upstream("c")
    };
    let start = ReadStart {
        boot: Duration::from_secs(2),
        at: Instant::now(),
    };
    view.update_upstreams([upstream("a"), there], start);
    let zones = [("here", "north"), ("there", "south"), ("third", "south")];
    let zones = zones.map(|(zone, region)| (zone.into(), region.into()));
    view.set_regions(zones.into_iter().collect());
    let within = |key, region: &str| Requirements {
        regions: vec![region.into()],
        ..requirements(OTHER, key)
    };
    publish_holder(&selector, "c");
    for _ in 0..50 {
        let selected = selector
            .select(&within(None, "south"), &[], None, None)
            .await;
        assert_eq!(reason(selected), Ok("c".to_owned()));
        let selected = selector
            .select(&within(None, "north"), &[], None, None)
            .await;
        assert_eq!(reason(selected), Ok("a".to_owned()));
    }
    let keyed = within(Some(KEY), "south");
    let keyed = selector.select(&keyed, &[], None, None).await;
    assert_eq!(reason(keyed), Ok("c".to_owned()));
    for (key, region) in [(Some(KEY), "north"), (None, "east")] {
        let requirements = within(key, region);
        let rejection = selector.select(&requirements, &[], None, None).await;
        let rejection = rejection.unwrap_err();
        assert_eq!(rejection.reason, Reason::NoRegion);
        assert!(rejection.retry_after.is_some());
    }
    // The holder is not reached from here. Daemons of its region or this one's may help.
    view.paths.record_connect(&"c".into(), false);
    let helper = |port, zone: &str| Helper {
        name: "other".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: zone.into(),
        lost: Vec::new(),
        leaving: Vec::new(),
    };
    for (zone, key, expected) in [
        ("elsewhere", Some(KEY), "c"),
        ("third", Some(KEY), "127.0.0.1:7"),
        ("here", Some(KEY), "127.0.0.1:7"),
        ("elsewhere", None, "c"),
        ("third", None, "127.0.0.1:7"),
    ] {
        view.keys.helpers.send_replace(vec![helper(7, zone)]);
        let requirements = within(key, "south");
        let selected = selector.select(&requirements, &[], None, Some(&[])).await;
        assert_eq!(reason(selected), Ok(expected.to_owned()), "{zone}");
    }
}

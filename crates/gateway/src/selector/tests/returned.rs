//! Requests to upstreams whose data centre has returned from an evacuation.

use std::{sync::Arc, time::Duration};

use super::{
    KEY, OTHER,
    cold::{lead, warm_up},
    publish_holder, requirements, selector, upstream,
};
use crate::{
    queue::Permit,
    selector::{Requirements, Selected, Selector},
    view::ReadStart,
};
use copperwell_assignment::driver::Environment;
use copperwell_backend::exchange::Health;
use copperwell_message::{HashMap, Reason};
use copperwell_routing::{
    UpstreamId,
    evacuation::{self, Evacuations},
    registry::Upstream,
};
use test_case::test_case;
use tokio::time::{Instant, advance};

/// How long upstreams warm up, with 5 % and 100 ms more.
const WARMUP: Duration = Duration::from_millis(3_250);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Lists `a` in the data centre `there`, and `b` here.
fn list(selector: &Selector, a: Upstream) {
    let start = ReadStart {
        boot: Duration::from_secs(3),
        at: Instant::now(),
    };
    let a = Upstream {
        zone: "there".into(),
        ..a
    };
    selector.view.update_upstreams([a, upstream("b")], start);
}

fn evacuate(selector: &Selector, offset: u64, zones: &[&str]) {
    selector.view.update_evacuations(&Evacuations {
        version: evacuation::Version { era: 0, offset },
        zones: zones.iter().map(|zone| (*zone).into()).collect(),
    });
}

/// Returns a daemon that learns now that the evacuation of the data centre of `a` has ended.
async fn returned() -> Arc<Selector> {
    let selector = selector();
    warm_up(&selector, &[]);
    advance(ms(1)).await;
    list(&selector, upstream("a"));
    evacuate(&selector, 1, &["there"]);
    advance(Duration::from_secs(20)).await;
    list(&selector, upstream("a"));
    evacuate(&selector, 2, &[]);
    selector
}

/// Takes all permits of the upstream that was not evacuated.
fn fill(selector: &Selector) -> Vec<Permit> {
    let warm = selector.view.registry().get("b").cloned().unwrap();
    let permits =
        std::iter::from_fn(|| selector.try_permit(&warm, &requirements(OTHER, None)).ok());
    permits.collect()
}

/// A request that has no time to wait in the queue.
fn hasty(key: Option<u16>) -> Requirements {
    Requirements {
        deadline: Instant::now() + ms(1),
        objective: Instant::now(),
        ..requirements(OTHER, key)
    }
}

/// Sends the health checks that are due, and returns to which upstreams; they are answered as `left` says.
fn check(selector: &Selector, left: Option<Duration>) -> Vec<UpstreamId> {
    let sent_at = Instant::now();
    let checks = selector.view.take_return_checks().into_iter();
    let checked = checks.map(|(upstream, path)| {
        assert_eq!(path, "/health");
        answer(selector, &upstream, left, sent_at);
        upstream.id.clone()
    });
    checked.collect()
}

fn answer(selector: &Selector, upstream: &Upstream, left: Option<Duration>, sent_at: Instant) {
    let health = left.map(|left| Health {
        warmup_left: left,
        named: Some(left),
        sent_at,
    });
    let result = health.ok_or(Reason::ConnectionSilent);
    selector.view.record_return_check(upstream, result);
}

/// Returns where a request is sent without a reservation.
async fn unreserved(selector: &Selector, key: Option<u16>) -> Option<String> {
    match selector.select(&hasty(key), &[], None, None).await {
        Ok(Selected::Upstream(upstream, _)) if selector.view.may_send_cold(&upstream, None) => {
            Some(upstream.id.to_string())
        }
        _ => None,
    }
}

/// Guards against a warm upstream that stays idle for all of `warmup` after an evacuation, with a request that waits
/// meanwhile or without, and against one that gets requests before it has answered.
#[test_case(None; "without a key")]
#[test_case(Some(KEY); "with a key")]
#[tokio::test(start_paused = true)]
async fn warm_upstream_that_has_returned_stays_idle(key: Option<u16>) {
    let selector = returned().await;
    publish_holder(&selector, "a");
    let _full = fill(&selector);
    assert_eq!(unreserved(&selector, key).await, None);
    let waiting = requirements(OTHER, key);
    let waiting = selector.select(&waiting, &[], None, None);
    let checking = async {
        tokio::time::sleep(ms(200)).await;
        assert_eq!(check(&selector, Some(Duration::ZERO)), ["a".into()]);
        Instant::now()
    };
    let (selected, checked_at) = tokio::join!(waiting, checking);
    assert!(matches!(selected, Ok(Selected::Upstream(one, _)) if &*one.id == "a"));
    assert_eq!(
        checked_at,
        Instant::now(),
        "it waits for more than the answer"
    );
    assert_eq!(unreserved(&selector, key).await, Some("a".to_owned()));
    // Lists that are read later do not undo it.
    list(&selector, upstream("a"));
    assert_eq!(unreserved(&selector, key).await, Some("a".to_owned()));
    selector.view.list_returned();
    let registry = selector.view.registry();
    assert_eq!(registry.get("a").unwrap().warmup, Duration::ZERO);
}

/// Guards against requests beyond the limit to an upstream that is cold when it returns or does not answer, against ones
/// that it does not get once it is warm, and against health checks without end.
#[test_case(Some(ms(3_000)); "cold")]
#[test_case(Some(ms(1_000)); "cold for a part of the time")]
#[test_case(None; "without an answer")]
#[tokio::test(start_paused = true)]
async fn cold_upstream_that_has_returned_gets_requests_beyond_its_limit(left: Option<Duration>) {
    let selector = returned().await;
    lead(&selector);
    let _full = fill(&selector);
    let returned_at = Instant::now();
    let (mut reserved, mut checks) = (Vec::new(), 0);
    while returned_at.elapsed() < WARMUP - ms(20) {
        checks += check(&selector, left).len();
        match selector.select(&hasty(None), &[], None, None).await {
            Ok(Selected::WarmingUp(upstream, _, reservation)) => {
                assert!(!selector.view.may_send_cold(&upstream, None));
                assert!(selector.view.may_send_cold(&upstream, Some(&reservation)));
                reserved.push(Instant::now());
            }
            Ok(other) => panic!("{other:?}"),
            Err(_) => {}
        }
        advance(ms(10)).await;
    }
    let within = |start: &Instant| {
        let end = *start + Duration::from_secs(1);
        reserved
            .iter()
            .filter(|at| (*start..end).contains(at))
            .count()
    };
    let most = reserved.iter().map(within).max().unwrap();
    assert!(most <= 7, "{most} of one leader, allowed 14 of two");
    let allowed = if left.is_some() { 1..=1 } else { 2..=3 };
    assert!(allowed.contains(&checks), "{checks} health checks");
    // A time that the upstream names counts from its answer on.
    advance(ms(300)).await;
    assert_eq!(unreserved(&selector, None).await, Some("a".to_owned()));
}

/// Guards against a response to a health check that was sent before the daemon knew of the end, also to one before a
/// request: the upstream may have become cold in between. The data centre is evacuated again while the check is in flight,
/// or its evacuation ends.
#[tokio::test(start_paused = true)]
async fn response_to_a_check_before_the_end_of_an_evacuation_counts() {
    let selector = returned().await;
    let view = &selector.view;
    view.request_return_check("a");
    advance(ms(200)).await;
    let sent_at = Instant::now();
    let checks = view.take_return_checks();
    assert_eq!(checks.len(), 1);
    advance(ms(10)).await;
    evacuate(&selector, 3, &["there"]);
    let (upstream, _) = &checks[0];
    let again = view.take_return_checks();
    assert!(again.is_empty());
    advance(ms(10)).await;
    evacuate(&selector, 4, &[]);
    answer(&selector, upstream, Some(Duration::ZERO), sent_at);
    view.confirm_return(upstream, Duration::ZERO, sent_at);
    view.list_returned();
    assert!(!view.may_send_cold(upstream, None));
    // The answer arrives while it is evacuated.
    view.request_return_check("a");
    advance(ms(200)).await;
    let sent_at = Instant::now();
    let checks = view.take_return_checks();
    evacuate(&selector, 5, &["there"]);
    answer(&selector, &checks[0].0, Some(Duration::ZERO), sent_at);
    assert_eq!(view.health_check_before(upstream, None), None);
    assert!(!view.may_send(upstream, false));
    advance(ms(10)).await;
    evacuate(&selector, 6, &[]);
    view.list_returned();
    assert!(view.may_send(upstream, false) && !view.may_send_cold(upstream, None));
    assert!(view.registry().get("a").unwrap().warmup > Duration::ZERO);
    // A health check before a request that has a reservation counts as any other.
    advance(ms(10)).await;
    view.confirm_return(upstream, Duration::ZERO, Instant::now());
    assert!(view.may_send_cold(upstream, None));
}

/// Guards against requests to a new process without a reservation because the one before was found warm: the process
/// restarts while the check is in flight, and the store hears of it before the answer or after it.
#[test_case(true; "listed before the answer")]
#[test_case(false; "listed after the answer")]
#[tokio::test(start_paused = true)]
async fn answer_of_a_process_that_has_restarted_counts(is_listed_first: bool) {
    let selector = returned().await;
    let view = &selector.view;
    view.request_return_check("a");
    advance(ms(200)).await;
    let sent_at = Instant::now();
    let checks = view.take_return_checks();
    let restarted = Upstream {
        born: 2,
        ..upstream("a")
    };
    advance(ms(10)).await;
    if is_listed_first {
        list(&selector, restarted.clone());
    }
    answer(&selector, &checks[0].0, Some(Duration::ZERO), sent_at);
    view.list_returned();
    if !is_listed_first {
        // Its connections close, so a new one begins with a health check.
        let closed_at = Some(Instant::now() + ms(1));
        assert!(view.health_check_before(&checks[0].0, closed_at).is_some());
        list(&selector, restarted.clone());
    }
    assert!(!view.may_send_cold(&restarted, None));
    let listed = view.registry().get("a").cloned().unwrap();
    assert!(listed.warmup > Duration::ZERO);
    // The new process may be warm as well.
    advance(ms(10)).await;
    view.confirm_return(&listed, Duration::ZERO, Instant::now());
    assert!(view.may_send_cold(&listed, None));
}

/// Guards against an answer without the remaining time, or of another upstream, that passes for the word of a warm one.
#[tokio::test(start_paused = true)]
async fn answer_that_names_no_time_confirms_an_upstream() {
    let selector = returned().await;
    let view = &selector.view;
    view.request_return_check("a");
    advance(ms(200)).await;
    let (upstream, _) = view.take_return_checks().remove(0);
    let health = Health {
        warmup_left: Duration::ZERO,
        named: None,
        sent_at: Instant::now(),
    };
    view.record_return_check(&upstream, Ok(health));
    view.record_health(&upstream, Some(Duration::ZERO), Instant::now());
    assert!(!view.may_send_cold(&upstream, None));
}

/// Guards against keys for upstreams that may be cold while warm ones exist, and for none that has returned: the leader
/// asks all of them, whether or not requests need them.
#[tokio::test(start_paused = true)]
async fn leader_takes_upstreams_that_have_returned_for_warm_or_never_asks() {
    let selector = returned().await;
    let view = &selector.view;
    let cold = || Environment::warming_up(&**view, "cups");
    assert!(cold().contains("a"));
    view.request_leader_checks();
    advance(ms(200)).await;
    assert!(
        check(&selector, Some(Duration::ZERO)).is_empty(),
        "a follower asks"
    );
    lead(&selector);
    view.request_leader_checks();
    assert!(cold().contains("a"));
    advance(ms(200)).await;
    assert_eq!(check(&selector, Some(Duration::ZERO)), ["a".into()]);
    let before = view.keys.store_state.list_version();
    view.list_returned();
    assert!(cold().is_empty());
    // Others learn it from the list.
    let delta = view.keys.store_state.delta_for(2, before).unwrap();
    assert!(delta.upstreams.is_some());
}

/// Guards against health checks that nobody needs: beside an upstream with room, few requests would be sent to one that
/// has returned, and without requests none are asked for.
#[tokio::test(start_paused = true)]
async fn upstream_that_no_request_needs_is_asked() {
    let selector = returned().await;
    advance(ms(200)).await;
    assert!(check(&selector, None).is_empty());
    for _ in 0..50 {
        selector.select(&hasty(None), &[], None, None).await.ok();
    }
    // It is in another data centre, which costs more, and the requests end at once.
    advance(ms(200)).await;
    assert!(check(&selector, None).is_empty());
}

/// The workload: 83 daemons, each with 36 requests a second that take 100 ms, and 244 upstreams, of which 81 return warm. Those
/// are in the data centre of all daemons, which prefer them, or in another one.
/// Guards against daemons that ask upstreams which they do not need, or that ask one all at the same moment, and against
/// capacity that lies idle since they do not ask.
#[test_case(false, "here"; "followers")]
#[test_case(true, "here"; "one of them leads")]
#[test_case(false, "there"; "nearer upstreams have room")]
#[tokio::test(start_paused = true)]
async fn fleet_asks_without_bound_or_leaves_upstreams_idle_after_an_evacuation(
    has_leader: bool,
    zone: &str,
) {
    const DAEMONS: usize = 83;
    const RETURNED: usize = 81;
    let other = if zone == "here" { "there" } else { "here" };
    let listed: Vec<_> = (0..244)
        .map(|number| Upstream {
            zone: if number < RETURNED { zone } else { other }.into(),
            ..upstream(&format!("u{number}"))
        })
        .collect();
    let mut daemons = Vec::new();
    for _ in 0..DAEMONS {
        let selector = selector();
        warm_up(&selector, &[]);
        daemons.push(selector);
    }
    let leading = has_leader.then(|| lead(&daemons[0]));
    advance(ms(1)).await;
    for selector in &daemons {
        let start = ReadStart {
            boot: Duration::from_secs(3),
            at: Instant::now(),
        };
        selector.view.update_upstreams(listed.clone(), start);
        evacuate(selector, 1, &[zone]);
        evacuate(selector, 2, &[]);
    }
    let mut in_flight: Vec<(Instant, Permit)> = Vec::new();
    let (mut late, mut to_returned, mut checks) = (0, 0, 0);
    let mut asked: HashMap<(UpstreamId, u64), usize> = HashMap::default();
    // A second, in steps of 10 ms.
    for step in 0..100_usize {
        let now = Instant::now();
        in_flight.retain(|(until, _)| now < *until);
        for (number, selector) in daemons.iter().enumerate() {
            selector.view.request_leader_checks();
            if step % 10 == 9 {
                selector.view.list_returned();
            }
            for id in check(selector, Some(Duration::ZERO)) {
                checks += 1;
                *asked.entry((id, step as u64 / 10)).or_default() += 1;
            }
            if (step * 36 + number) / 100 == ((step + 1) * 36 + number) / 100 {
                continue;
            }
            late += usize::from(step >= 50);
            let selected = selector.select(&hasty(None), &[], None, None).await;
            if let Ok(Selected::Upstream(upstream, permit)) = selected {
                to_returned += usize::from(step >= 50 && &*upstream.zone == zone);
                in_flight.push((now + ms(100), permit));
            }
        }
        advance(ms(10)).await;
    }
    drop(leading);
    let most = asked.values().max().copied().unwrap_or(0);
    println!("{checks} checks, {most} of one in 100 ms, {to_returned} of {late} requests");
    if zone == "there" {
        assert_eq!(checks, 0, "health checks that no request needs");
        return;
    }
    // Each daemon would send one to each of them if it asked all.
    let allowed = DAEMONS * RETURNED / 4 + if has_leader { RETURNED } else { 0 };
    assert!(checks <= allowed, "{checks} health checks");
    assert!(most <= DAEMONS / 2, "{most} health checks of one in 100 ms");
    assert!(
        to_returned * 10 >= late * 9,
        "{to_returned} of {late} requests"
    );
}

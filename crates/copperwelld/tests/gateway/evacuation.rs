//! The operator evacuates data centres.

use std::{
    process::Stdio,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use crate::{
    harness::{CONDITION_TIMEOUT, Daemon, Harness},
    standin::{caller, cluster, config, in_regions, rule, store::Faults as StoreFaults},
};
use futures::future::join_all;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use test_case::test_case;
use tokio::time::{Instant, sleep, timeout};

mod returned;

/// Within which time of the store's acknowledgement no request reaches an evacuated data centre any more.
const EVACUATE: Duration = Duration::from_secs(5);

/// How long a test looks for requests that reach an evacuated data centre.
const OBSERVED: Duration = Duration::from_secs(2);

/// The time between two requests to a daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// The servers of each service, of which those with an even number are here.
const SERVERS: usize = 4;

/// Starts daemons in these data centres, and servers of both services here and there.
async fn start(zones: &[&str]) -> Harness {
    let harness = Harness::start_with_servers(zones, SERVERS, SERVERS, |_| Stdio::null()).await;
    for (number, server) in harness.servers.iter().enumerate() {
        server.set_zone(if number % 2 == 0 { "here" } else { "there" });
    }
    harness.wait_served().await;
    harness
}

/// Returns a field of what the status page of a daemon says of an evacuated data centre.
async fn evacuation(harness: &Harness, daemon: &Daemon, zone: &str, field: &str) -> Option<Value> {
    let evacuations = daemon.status(&harness.client, "evacuations").await?;
    let evacuations = evacuations.as_array()?.iter();
    let mut of_zone = evacuations.filter(|one| one["zone"] == zone);
    of_zone.next()?.get(field).cloned()
}

/// Waits until the status pages of all daemons have this for the upstreams of an evacuated data centre.
async fn wait_known(harness: &Harness, zone: &str, upstreams: Option<usize>) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    for daemon in &harness.daemons {
        while evacuation(harness, daemon, zone, "upstreams").await != upstreams.map(Value::from) {
            assert!(Instant::now() < deadline, "{}: {zone}", daemon.name());
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Sends requests for both services to a daemon until `is_over`; returns those that were not served.
async fn load(harness: &Harness, daemon: usize, is_over: &AtomicBool) -> Vec<String> {
    let started_at = Instant::now();
    let mut unserved = Vec::new();
    for number in 0_usize.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let key = u16::try_from(number * 977 % 65_536).unwrap();
        let id = format!("load-{daemon}-{number}");
        let other = format!("{id}-k");
        let (any, keyed) = tokio::join!(
            harness.send(daemon, "/pay/1", &id, key),
            harness.send(daemon, "/cups/1", &other, key)
        );
        for (id, response) in [(id, any), (other, keyed)] {
            if !matches!(response, Some((StatusCode::OK, _))) {
                let at = started_at.elapsed();
                unserved.push(format!("{id} until {at:?}: {response:?}"));
            }
        }
        sleep(REQUEST_INTERVAL).await;
    }
    unserved
}

/// Returns how many requests reached servers of a data centre after `at`.
fn arrivals_in(harness: &Harness, zone: &str, at: Instant) -> usize {
    let remainder = usize::from(zone == "there");
    let servers = harness.servers.iter().enumerate();
    let there = servers.filter(|(number, _)| number % 2 == remainder);
    let late = there.map(|(_, server)| {
        let arrivals = server.arrivals();
        arrivals.iter().filter(|one| **one > at).count()
    });
    late.sum()
}

fn keys_in(harness: &Harness, zone: &str) -> usize {
    let remainder = usize::from(zone == "there");
    let servers = harness.servers.iter().enumerate();
    let there = servers.filter(|(number, _)| number % 2 == remainder);
    there.map(|(_, server)| server.keys()).sum()
}

/// Waits until servers of a data centre hold keys and get requests again.
async fn wait_returned(harness: &Harness, zone: &str) {
    let ended_at = Instant::now();
    let deadline = ended_at + CONDITION_TIMEOUT;
    while keys_in(harness, zone) == 0 || arrivals_in(harness, zone, ended_at) == 0 {
        assert!(Instant::now() < deadline, "{zone} does not return");
        sleep(Duration::from_millis(50)).await;
    }
    // Requests with keys are served by the same incarnations again, too.
    harness.wait_served().await;
}

/// Guards against requests that go on to an evacuated data centre, from daemons there or elsewhere, and against servers
/// there that get none again afterwards.
#[test_case(StoreFaults::default(), false; "the store answers at once")]
#[test_case(StoreFaults { delay: Duration::from_millis(700), ..StoreFaults::default() }, false; "it is slow")]
#[test_case(StoreFaults::default(), true; "the data centre of the leader")]
#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_to_an_evacuated_data_centre(faults: StoreFaults, is_leaders: bool) {
    let harness = start(&["here", "there", "here", "there"]).await;
    let is_leader = |daemon: &Daemon| caller::leads(&harness.store, &daemon.name());
    let leader = harness.daemons.iter().position(is_leader).unwrap();
    let zone = if (leader % 2 == 1) == is_leaders {
        "there"
    } else {
        "here"
    };
    harness.store.set(faults);
    sleep(OBSERVED).await;
    let is_over = AtomicBool::new(false);
    let evacuating = async {
        harness.store.evacuate(zone);
        let late_from = Instant::now() + EVACUATE;
        wait_known(&harness, zone, Some(SERVERS)).await;
        tokio::time::sleep_until(late_from + OBSERVED).await;
        let late = arrivals_in(&harness, zone, late_from);
        assert_eq!(late, 0, "requests after {EVACUATE:?}");
        assert_eq!(keys_in(&harness, zone), 0);
        for daemon in &harness.daemons {
            for field in ["requests", "key_ranges"] {
                let left = evacuation(&harness, daemon, zone, field).await;
                assert_eq!(left, Some(json!(0)), "{field} at {}", daemon.name());
            }
            let metrics = daemon.metrics(&harness.client).await.unwrap();
            let gauge = format!("evacuated{{zone=\"{zone}\",kind=\"upstreams\"}} {SERVERS}\n");
            assert!(metrics.contains(&gauge), "{gauge}");
        }
        harness.store.end_evacuation(zone);
        wait_known(&harness, zone, None).await;
        wait_returned(&harness, zone).await;
        is_over.store(true, Ordering::Relaxed);
    };
    let loads = (0..harness.daemons.len()).map(|daemon| load(&harness, daemon, &is_over));
    let (unserved, ()) = tokio::join!(join_all(loads), evacuating);
    // Each move of keys waits for a slow store, for longer than requests with keys wait for a holder.
    let is_slow = faults.delay > Duration::ZERO;
    let unserved = unserved.concat().into_iter();
    let unserved = unserved.filter(|one| !is_slow || !one.contains("-k "));
    assert_eq!(unserved.collect::<Vec<_>>(), Vec::<String>::new());
}

/// Guards against an evacuation that ends because the store is away, and against one of two that ends with the other.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_ends_with_the_store_or_with_another_one() {
    let harness = start(&["here", "there", "here"]).await;
    for server in [0, SERVERS] {
        harness.servers[server].set_zone("third");
    }
    harness.store.evacuate("here");
    harness.store.evacuate("there");
    wait_known(&harness, "here", Some(SERVERS - 2)).await;
    wait_known(&harness, "there", Some(SERVERS)).await;
    harness.wait_served().await;
    harness.store.set(StoreFaults {
        refuse: Some(503),
        ..StoreFaults::default()
    });
    let away_at = Instant::now();
    let is_over = AtomicBool::new(false);
    let away = async {
        sleep(OBSERVED).await;
        is_over.store(true, Ordering::Relaxed);
    };
    let loads = (0..harness.daemons.len()).map(|daemon| load(&harness, daemon, &is_over));
    let (unserved, ()) = tokio::join!(join_all(loads), away);
    assert_eq!(unserved.concat(), Vec::<String>::new());
    assert_eq!(arrivals_in(&harness, "there", away_at), 0);
    harness.store.set(StoreFaults::default());
    harness.store.end_evacuation("here");
    wait_known(&harness, "here", None).await;
    wait_known(&harness, "there", Some(SERVERS)).await;
    harness.wait_served().await;
    assert_eq!(arrivals_in(&harness, "there", away_at), 0);
    harness.store.end_evacuation("there");
    wait_known(&harness, "there", None).await;
    harness.wait_served().await;
}

/// Guards against a leader that does not know of an evacuation which began before it leads, and sends requests or keys
/// there again.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_ends_with_its_leader() {
    let mut harness = start(&["here", "there", "here", "there"]).await;
    harness.store.evacuate("there");
    wait_known(&harness, "there", Some(SERVERS)).await;
    harness.wait_served().await;
    sleep(EVACUATE).await;
    let evacuated_at = Instant::now();
    for _ in 0..2 {
        let is_leader = |daemon: &Daemon| caller::leads(&harness.store, &daemon.name());
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        let leader = loop {
            if let Some(leader) = harness.daemons.iter().position(is_leader) {
                break leader;
            }
            assert!(Instant::now() < deadline, "no daemon leads");
            sleep(Duration::from_millis(50)).await;
        };
        harness.daemons.remove(leader);
        harness.wait_served().await;
    }
    assert_eq!(arrivals_in(&harness, "there", evacuated_at), 0);
    assert_eq!(keys_in(&harness, "there"), 0);
    harness.store.end_evacuation("there");
    wait_known(&harness, "there", None).await;
    wait_keys(&harness, "there").await;
}

/// Waits until servers of a data centre hold keys.
async fn wait_keys(harness: &Harness, zone: &str) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while keys_in(harness, zone) == 0 {
        assert!(Instant::now() < deadline, "{zone} holds no keys");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Sends a request; returns the status, the reason and after how many seconds the caller may retry.
async fn ask(harness: &Harness, daemon: usize, path: &str, id: &str) -> (u16, Option<f64>) {
    let request = Request::get(harness.daemons[daemon].url(0, path)).header("host", "app.example");
    let request = caller::asking_within(request, id, 7, CONDITION_TIMEOUT);
    let request = request.body(Full::default()).unwrap();
    let response = timeout(CONDITION_TIMEOUT, harness.client.request(request));
    let response = response.await.unwrap().unwrap();
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.map(|value| value.to_str().unwrap().parse().unwrap());
    let status = response.status().as_u16();
    let _ = response.into_body().collect().await;
    (status, retry_after)
}

/// Guards against requests that wait for their deadline, or have no word on when to come again, while all servers of
/// their service are evacuated.
#[tokio::test(flavor = "multi_thread")]
async fn requests_wait_for_servers_that_are_all_evacuated() {
    let harness = Harness::start(2).await;
    harness.wait_served().await;
    harness.store.evacuate("here");
    wait_known(&harness, "here", Some(harness.servers.len())).await;
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    for daemon in 0..2 {
        for path in ["/pay/1", "/cups/1"] {
            let id = |number| format!("{path}-{daemon}-{number}");
            for number in 0.. {
                let (status, retry_after) = ask(&harness, daemon, path, &id(number)).await;
                if status == 503 {
                    assert!(retry_after.is_some_and(|after| after > 0.0), "{path}");
                    break;
                }
                // A holder serves its keys for a moment.
                assert!(Instant::now() < deadline, "{path} has status {status}");
            }
        }
    }
    harness.store.end_evacuation("here");
    wait_known(&harness, "here", None).await;
    harness.wait_served().await;
    let (status, _) = ask(&harness, 0, "/pay/1", "back").await;
    assert_eq!(status, 200);
}

/// Guards against requests of a route that reach servers outside its regions, and against routes without regions that
/// reach fewer.
#[tokio::test(flavor = "multi_thread")]
async fn request_reaches_a_server_outside_its_regions() {
    let zones = ["here", "there"];
    let mut harness =
        Harness::start_with_servers(&zones, SERVERS, SERVERS, |_| Stdio::null()).await;
    for daemon in &harness.daemons {
        let change = "zones.here=north\nzones.there=south\nsomething.new=1";
        daemon.change(&harness.store, "something.new=1", change);
    }
    for (number, server) in harness.servers.iter().enumerate() {
        server.set_zone(if number % 2 == 0 { "here" } else { "there" });
    }
    let mut rules = vec![
        rule("cups", "idempotent", "cups"),
        rule("pay", "non_idempotent", "pay"),
    ];
    for (prefix, service, region) in [
        ("south", "pay", "south"),
        ("nowhere", "pay", "east"),
        ("keys", "cups", "south"),
    ] {
        let rule = rule(prefix, "idempotent", service);
        rules.push(in_regions(rule, &[region]));
    }
    let clusters = [cluster("cups", true), cluster("pay", false)];
    harness.store.configure(&config(3, &rules, &clusters));
    harness.wait_served().await;
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    for daemon in 0..zones.len() {
        for number in 0.. {
            let id = format!("wait-{daemon}-{number}");
            if ask(&harness, daemon, "/south/1", &id).await.0 == 200 {
                break;
            }
            assert!(Instant::now() < deadline, "the regions are not known");
            sleep(Duration::from_millis(50)).await;
        }
        for number in 0..20 {
            let id = format!("in-{daemon}-{number}");
            assert_eq!(ask(&harness, daemon, "/south/1", &id).await.0, 200);
            let (status, retry_after) =
                ask(&harness, daemon, "/nowhere/1", &format!("{id}-n")).await;
            assert!(status == 503 && retry_after.is_some(), "{status}");
            let id = format!("{id}-k");
            let key = number * 3_001;
            let served = harness.send(daemon, "/keys/1", &id, key).await.unwrap().0;
            let holds = |one: usize| harness.servers[one].holds(key.into()).is_some();
            let is_south = (0..SERVERS).any(|one| one % 2 == 1 && holds(one));
            assert_eq!(served == StatusCode::OK, is_south, "key {key}: {served}");
        }
    }
    for server in harness.servers.drain(..).step_by(2) {
        let outside = server.runs().into_iter().filter(|id| id.starts_with("in-"));
        assert_eq!(
            outside.collect::<Vec<_>>(),
            Vec::<String>::new(),
            "{}",
            server.id
        );
    }
}

//! Rejected requests, and requests that crash servers.

use std::time::Duration;

use copperwell_backend::order::Load;
use copperwell_message::{Reason, Verdict};
use copperwell_operator::status::Role;
use copperwell_rig::{cluster, node::Node};
use copperwell_standin::backend::switch::header::{CRASH, FAULT};
use serde_json::Value;
use test_case::test_case;
use tokio::time::{Instant, sleep};
use uuid::Uuid;

use crate::{
    support::{
        CONDITION_TIMEOUT, DATA_CENTRE, GROUP, Harness, OTHER_GROUP, POLL_INTERVAL, has_role,
    },
    test_request::{TestRequest, id_from_future, id_of_age, key_of},
};

/// The deadline of requests that cannot be served.
const DEADLINE: Duration = Duration::from_secs(1);

/// An offset beyond the allowed clock skew.
const FUTURE_OFFSET: Duration = Duration::from_mins(1);

/// An age from before the start of the cluster.
const AGE_BEFORE_START: Duration = Duration::from_mins(5);

/// An age beyond the retention of outcomes.
const EXPIRED_AGE: Duration = Duration::from_hours(1);

/// The servers of the first data centre.
const LOCAL_SERVERS: [&str; 3] = ["cal-a1", "cal-a2", "cal-a3"];

/// The response to a request that crashed two servers.
const QUARANTINED: (Option<Verdict>, Option<Reason>) =
    (Some(Verdict::NotRun), Some(Reason::Quarantined));

/// The servers of the second data centre.
const REMOTE_SERVERS: [&str; 2] = ["cal-b1", "cal-b2"];

#[test_case(|| id_from_future(FUTURE_OFFSET), Verdict::NotRun, Reason::IdempotencyKeyInvalid; "from the future")]
#[test_case(Uuid::nil, Verdict::NotRun, Reason::IdempotencyKeyInvalid; "of another format")]
#[test_case(|| id_of_age(AGE_BEFORE_START), Verdict::MayHaveRun, Reason::IdempotencyKeyUnknown; "older than the leader")]
#[test_case(|| id_of_age(EXPIRED_AGE), Verdict::MayHaveRun, Reason::IdempotencyKeyExpired; "too old")]
#[tokio::test(flavor = "multi_thread")]
async fn idempotency_key(id: fn() -> Uuid, verdict: Verdict, reason: Reason) {
    let harness = Harness::start_with_long_timeouts().await;
    let request = TestRequest::new(&harness, GROUP, Duration::ZERO).with_id(id());
    for node in &harness.cluster.nodes {
        let response = request.send(node.addresses.callers).await.unwrap();
        assert_eq!(
            response.outcome(),
            (Some(verdict), Some(reason)),
            "{response:?}"
        );
    }
    assert_eq!(harness.cluster.record.times_run(&request.id.to_string()), 0);
    harness.check_record();
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotency_key_of_another_request() {
    let harness = Harness::start_with_long_timeouts().await;
    let first = TestRequest::new(&harness, GROUP, Duration::ZERO);
    let mut other = first.clone();
    other.body = "another";
    let mut nodes = harness.cluster.nodes.iter();
    let response = first.send(nodes.next().unwrap().addresses.callers).await;
    let response = response.unwrap();
    assert!(first.is_answered_by(&response), "{response:?}");
    for node in nodes {
        let rejected = other.send(node.addresses.callers).await.unwrap();
        let expected = (Some(Verdict::NotRun), Some(Reason::IdempotencyKeyReused));
        assert_eq!(rejected.outcome(), expected, "{rejected:?}");
        let repeated = first.send(node.addresses.callers).await.unwrap();
        assert_eq!(repeated, response);
    }
    assert_eq!(harness.cluster.record.times_run(&first.id.to_string()), 1);
    harness.check_record();
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_every_server_sheds() {
    let harness = Harness::start_with_long_timeouts().await;
    for server in harness.cluster.servers.values() {
        server.shed(true);
    }
    let request = TestRequest::new(&harness, GROUP, Duration::ZERO).with_deadline(DEADLINE);
    for node in &harness.cluster.nodes {
        let response = request.send(node.addresses.callers).await.unwrap();
        let expected = (Some(Verdict::NotRun), Some(Reason::Shed));
        assert_eq!(response.outcome(), expected, "{response:?}");
    }
    assert_eq!(harness.cluster.record.times_run(&request.id.to_string()), 0);
    for server in harness.cluster.servers.values() {
        server.shed(false);
    }
    harness.wait_served().await;
    let ingress = harness.cluster.nodes[0].addresses.callers;
    let response = request.send(ingress).await.unwrap();
    assert!(request.is_answered_by(&response), "{response:?}");
    harness.check_record();
}

/// The load that servers report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportedLoad {
    /// Servers report that they are idle.
    NoLoad,
    /// Servers report that they are full.
    NoCapacity,
}

#[test_case(ReportedLoad::NoLoad; "busy servers report no load")]
#[test_case(ReportedLoad::NoCapacity; "idle servers report no capacity")]
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_mislead_about_their_load(reported_load: ReportedLoad) {
    let harness = Harness::start().await;
    let is_full = reported_load == ReportedLoad::NoCapacity;
    for server in harness.cluster.servers.values() {
        let reported = Load {
            in_flight: if is_full { u32::MAX } else { 0 },
            waiting: if is_full { u32::MAX } else { 0 },
            slots: if is_full { 0 } else { u32::MAX },
            draining: false,
        };
        server.mislead(Some(reported));
    }
    let load = harness.load();
    harness.wait_served().await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    // Slots follow the manifest, regardless of the reported load.
    for server in harness.cluster.servers.values() {
        let running_max = server.counts().running_max;
        assert!(running_max <= 2, "{running_max} concurrent requests");
    }
    assert_eq!(harness.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_over_keys_of_which_one_has_no_owner() {
    let harness = Harness::start_with_long_timeouts().await;
    let request = TestRequest::multi_key(&harness, &[GROUP, OTHER_GROUP]).with_deadline(DEADLINE);
    for server in REMOTE_SERVERS {
        harness.cluster.server(server).unwrap().kill();
    }
    for node in &harness.cluster.nodes {
        let response = request.send(node.addresses.callers).await.unwrap();
        assert_ne!(response.verdict, Some(Verdict::Done), "{response:?}");
        let error: Value = serde_json::from_slice(&response.body.unwrap()).unwrap();
        let failed = error["failed"].as_array().unwrap();
        let keys: Vec<&str> = failed
            .iter()
            .filter_map(|part| part["key"].as_str())
            .collect();
        assert_eq!(keys, [key_of(&harness, OTHER_GROUP)], "{error}");
    }
    for server in REMOTE_SERVERS {
        harness
            .cluster
            .server(server)
            .unwrap()
            .restart()
            .await
            .unwrap();
    }
    harness.wait_served().await;
    for node in &harness.cluster.nodes {
        let response = request.send(node.addresses.callers).await.unwrap();
        assert_eq!(response.verdict, Some(Verdict::Done), "{response:?}");
        let body = String::from_utf8(response.body.unwrap().to_vec()).unwrap();
        for group in [GROUP, OTHER_GROUP] {
            let part = format!("copperwell-key: {}\r\n", key_of(&harness, group));
            assert_eq!(body.matches(&part).count(), 1, "{body}");
        }
    }
    harness.check_record();
}

#[tokio::test(flavor = "multi_thread")]
async fn quarantined_request_is_rejected_everywhere() {
    let mut harness = Harness::start().await;
    let load = harness.load();
    let request = TestRequest::repeatable(&harness, GROUP, Duration::ZERO).with_field(FAULT, CRASH);
    send_until_quarantined(&harness, &request).await;
    assert_eq!(crashes(&harness), 2);
    harness.wait_served().await;
    // The leader of the other data centre takes over the key and rejects the request, too.
    let manifest = &mut harness.cluster.manifest;
    manifest.replaces = 1;
    for upstream in &mut manifest.services[0].upstreams {
        upstream.drain = LOCAL_SERVERS.contains(&&*upstream.name);
    }
    harness.cluster.publish().await.unwrap();
    harness
        .wait("the other data centre holds all shards", |cluster| {
            let remote_servers = REMOTE_SERVERS.iter();
            let held = remote_servers.map(|server| cluster.servers[*server].shards().len());
            held.sum::<usize>() >= cluster.shards()
        })
        .await;
    harness.wait_served().await;
    for node in &harness.cluster.nodes {
        let response = request.send(node.addresses.callers).await.unwrap();
        assert_eq!(response.outcome(), QUARANTINED, "{response:?}");
    }
    assert_eq!(crashes(&harness), 2);
    harness.end_load_and_check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn quarantined_request_is_rejected_by_later_leaders() {
    let mut harness = Harness::start().await;
    let load = harness.load();
    let request = TestRequest::repeatable(&harness, GROUP, Duration::ZERO).with_field(FAULT, CRASH);
    send_until_quarantined(&harness, &request).await;
    // Neither daemon existed when the request was quarantined.
    for _ in 0..2 {
        let pair = harness.pair().await;
        let (leader, standby) = (pair.leader.name.clone(), pair.standby.name.clone());
        let _standby = harness.kill(&standby);
        harness.cluster.add_node(DATA_CENTRE).await.unwrap();
        harness.cluster.list();
        let new = harness.cluster.nodes.last().unwrap();
        harness
            .wait_status("the standby role", new, |status| {
                has_role(status, GROUP, Role::Standby)
            })
            .await;
        wait_quarantine_received(new).await;
        harness.wait_served().await;
        let _leader = harness.kill(&leader);
        harness.new_leader(GROUP, &leader).await;
        harness.cluster.add_node(DATA_CENTRE).await.unwrap();
        harness.cluster.list();
        harness.wait_standby(GROUP).await;
        harness.wait_served().await;
        for node in &harness.cluster.nodes {
            let response = request.send(node.addresses.callers).await.unwrap();
            assert_eq!(response.outcome(), QUARANTINED, "{response:?}");
        }
    }
    assert_eq!(crashes(&harness), 2);
    harness.end_load_and_check(load).await;
}

/// Sends a request to the daemons in turn until it is rejected as quarantined.
async fn send_until_quarantined(harness: &Harness, request: &TestRequest) {
    for node in harness.cluster.nodes.iter().cycle() {
        let response = request.send(node.addresses.callers).await.unwrap();
        assert_ne!(response.verdict, Some(Verdict::Done), "{response:?}");
        if response.outcome() == QUARANTINED {
            break;
        }
        assert!(
            crashes(harness) <= 2,
            "the request crashed more than two servers"
        );
    }
    harness.wait_served().await;
}

/// Waits until another leader has reported a quarantined request to a daemon.
async fn wait_quarantine_received(node: &Node) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    loop {
        let metrics = cluster::metrics(std::slice::from_ref(node)).await;
        let received = metrics.get("copperwell_quarantine_heard_total");
        if received.is_some_and(|received| *received > 0.0) {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "no quarantined request was reported to {}",
            node.name
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns how often requests crashed servers.
fn crashes(harness: &Harness) -> u64 {
    let servers = harness.cluster.servers.values();
    servers.map(|server| server.counts().crashes).sum()
}

//! Requests that are refused, and requests that crash servers.

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
    support::{Bench, CONDITION_TIME, GROUP, HERE, LOOK, OTHER_GROUP, has_role},
    test_request::{Ask, id_from_ahead, id_of_age, key_of},
};

/// How long a caller waits for what nobody can answer.
const DEADLINE: Duration = Duration::from_secs(1);

/// More than clocks may differ.
const AHEAD: Duration = Duration::from_mins(1);

/// Before the cluster began.
const BEFORE: Duration = Duration::from_mins(5);

/// Longer than outcomes are kept.
const OLD: Duration = Duration::from_hours(1);

/// The servers of the first data centre.
const HERE_SERVERS: [&str; 3] = ["cal-a1", "cal-a2", "cal-a3"];

/// What is answered to a request that crashed two servers.
const QUARANTINED: (Option<Verdict>, Option<Reason>) =
    (Some(Verdict::NotRun), Some(Reason::Quarantined));

/// The servers of the second data centre.
const THERE_SERVERS: [&str; 2] = ["cal-b1", "cal-b2"];

#[test_case(|| id_from_ahead(AHEAD), Verdict::NotRun, Reason::IdempotencyKeyInvalid; "from the future")]
#[test_case(Uuid::nil, Verdict::NotRun, Reason::IdempotencyKeyInvalid; "of another kind")]
#[test_case(|| id_of_age(BEFORE), Verdict::MayHaveRun, Reason::IdempotencyKeyUnknown; "from before the leader")]
#[test_case(|| id_of_age(OLD), Verdict::MayHaveRun, Reason::IdempotencyKeyExpired; "too old")]
#[tokio::test(flavor = "multi_thread")]
async fn idempotency_key(id: fn() -> Uuid, verdict: Verdict, reason: Reason) {
    let bench = Bench::start_patient().await;
    let ask = Ask::new(&bench, GROUP, Duration::ZERO).with_id(id());
    for node in &bench.cluster.nodes {
        let answer = ask.send(node.addresses.callers).await.unwrap();
        assert_eq!(
            answer.outcome(),
            (Some(verdict), Some(reason)),
            "{answer:?}"
        );
    }
    assert_eq!(bench.cluster.record.times_run(&ask.id.to_string()), 0);
    bench.check_record();
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotency_key_of_another_request() {
    let bench = Bench::start_patient().await;
    let first = Ask::new(&bench, GROUP, Duration::ZERO);
    let mut other = first.clone();
    other.body = "another";
    let mut nodes = bench.cluster.nodes.iter();
    let answer = first.send(nodes.next().unwrap().addresses.callers).await;
    let answer = answer.unwrap();
    assert!(first.is_own(&answer), "{answer:?}");
    for node in nodes {
        let refused = other.send(node.addresses.callers).await.unwrap();
        let expected = (Some(Verdict::NotRun), Some(Reason::IdempotencyKeyReused));
        assert_eq!(refused.outcome(), expected, "{refused:?}");
        let again = first.send(node.addresses.callers).await.unwrap();
        assert_eq!(again, answer);
    }
    assert_eq!(bench.cluster.record.times_run(&first.id.to_string()), 1);
    bench.check_record();
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_every_server_sheds() {
    let bench = Bench::start_patient().await;
    for server in bench.cluster.servers.values() {
        server.shed(true);
    }
    let ask = Ask::new(&bench, GROUP, Duration::ZERO).with_deadline(DEADLINE);
    for node in &bench.cluster.nodes {
        let answer = ask.send(node.addresses.callers).await.unwrap();
        let expected = (Some(Verdict::NotRun), Some(Reason::Shed));
        assert_eq!(answer.outcome(), expected, "{answer:?}");
    }
    assert_eq!(bench.cluster.record.times_run(&ask.id.to_string()), 0);
    for server in bench.cluster.servers.values() {
        server.shed(false);
    }
    bench.serves().await;
    let entry = bench.cluster.nodes[0].addresses.callers;
    let answer = ask.send(entry).await.unwrap();
    assert!(ask.is_own(&answer), "{answer:?}");
    bench.check_record();
}

/// What servers say of themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Claim {
    /// That they have nothing to do.
    Idle,
    /// That they are full.
    Full,
}

#[test_case(Claim::Idle; "busy ones say they are idle")]
#[test_case(Claim::Full; "idle ones say they are full")]
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_mislead_about_their_load(claim: Claim) {
    let bench = Bench::start().await;
    let full = claim == Claim::Full;
    for server in bench.cluster.servers.values() {
        let told = Load {
            in_flight: if full { u32::MAX } else { 0 },
            waiting: if full { u32::MAX } else { 0 },
            slots: if full { 0 } else { u32::MAX },
            draining: false,
        };
        server.mislead(Some(told));
    }
    let load = bench.load();
    bench.serves().await;
    bench.serves().await;
    bench.check(load).await;
    // Slots follow the manifest, whatever a server says.
    for server in bench.cluster.servers.values() {
        let most = server.counts().running_max;
        assert!(most <= 2, "{most} requests at a time");
    }
    assert_eq!(bench.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_over_keys_of_which_one_has_no_owner() {
    let bench = Bench::start_patient().await;
    let ask = Ask::over(&bench, &[GROUP, OTHER_GROUP]).with_deadline(DEADLINE);
    for server in THERE_SERVERS {
        bench.cluster.server(server).unwrap().kill();
    }
    for node in &bench.cluster.nodes {
        let answer = ask.send(node.addresses.callers).await.unwrap();
        assert_ne!(answer.verdict, Some(Verdict::Done), "{answer:?}");
        let error: Value = serde_json::from_slice(&answer.body.unwrap()).unwrap();
        let failed = error["failed"].as_array().unwrap();
        let keys: Vec<&str> = failed
            .iter()
            .filter_map(|part| part["key"].as_str())
            .collect();
        assert_eq!(keys, [key_of(&bench, OTHER_GROUP)], "{error}");
    }
    for server in THERE_SERVERS {
        bench
            .cluster
            .server(server)
            .unwrap()
            .restart()
            .await
            .unwrap();
    }
    bench.serves().await;
    for node in &bench.cluster.nodes {
        let answer = ask.send(node.addresses.callers).await.unwrap();
        assert_eq!(answer.verdict, Some(Verdict::Done), "{answer:?}");
        let body = String::from_utf8(answer.body.unwrap().to_vec()).unwrap();
        for group in [GROUP, OTHER_GROUP] {
            let part = format!("copperwell-key: {}\r\n", key_of(&bench, group));
            assert_eq!(body.matches(&part).count(), 1, "{body}");
        }
    }
    bench.check_record();
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_servers_is_refused_everywhere() {
    let mut bench = Bench::start().await;
    let load = bench.load();
    let ask = Ask::repeatable(&bench, GROUP, Duration::ZERO).with_field(FAULT, CRASH);
    send_until_refused(&bench, &ask).await;
    assert_eq!(crashes(&bench), 2);
    bench.serves().await;
    // The other data centre's leader takes the key over, and refuses the request too.
    let manifest = &mut bench.cluster.manifest;
    manifest.replaces = 1;
    for upstream in &mut manifest.services[0].upstreams {
        upstream.drain = HERE_SERVERS.contains(&&*upstream.name);
    }
    bench.cluster.publish().await.unwrap();
    bench
        .wait("the other data centre has all shards", |cluster| {
            let there = THERE_SERVERS.iter();
            let held = there.map(|server| cluster.servers[*server].shards().len());
            held.sum::<usize>() >= cluster.shards()
        })
        .await;
    bench.serves().await;
    for node in &bench.cluster.nodes {
        let answer = ask.send(node.addresses.callers).await.unwrap();
        assert_eq!(answer.outcome(), QUARANTINED, "{answer:?}");
    }
    assert_eq!(crashes(&bench), 2);
    bench.check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_servers_is_refused_by_later_leaders() {
    let mut bench = Bench::start().await;
    let load = bench.load();
    let ask = Ask::repeatable(&bench, GROUP, Duration::ZERO).with_field(FAULT, CRASH);
    send_until_refused(&bench, &ask).await;
    // Neither was there when the request was found out.
    for _ in 0..2 {
        let pair = bench.pair().await;
        let (leader, standby) = (pair.leader.name.clone(), pair.standby.name.clone());
        let _standby = bench.kill(&standby);
        bench.cluster.add_node(HERE).await.unwrap();
        bench.cluster.list();
        let new = bench.cluster.nodes.last().unwrap();
        bench
            .wait_status("the standby's part", new, |status| {
                has_role(status, GROUP, Role::Standby)
            })
            .await;
        wait_told(new).await;
        bench.serves().await;
        let _leader = bench.kill(&leader);
        bench.new_leader(GROUP, &leader).await;
        bench.cluster.add_node(HERE).await.unwrap();
        bench.cluster.list();
        bench.wait_standby(GROUP).await;
        bench.serves().await;
        for node in &bench.cluster.nodes {
            let answer = ask.send(node.addresses.callers).await.unwrap();
            assert_eq!(answer.outcome(), QUARANTINED, "{answer:?}");
        }
    }
    assert_eq!(crashes(&bench), 2);
    bench.check(load).await;
}

/// Sends a request to one daemon after the other until it is refused for its crashes.
async fn send_until_refused(bench: &Bench, ask: &Ask) {
    for node in bench.cluster.nodes.iter().cycle() {
        let answer = ask.send(node.addresses.callers).await.unwrap();
        assert_ne!(answer.verdict, Some(Verdict::Done), "{answer:?}");
        if answer.outcome() == QUARANTINED {
            break;
        }
        assert!(crashes(bench) <= 2, "it went on crashing servers");
    }
    bench.serves().await;
}

/// Waits until a daemon was told of a request that crashes servers.
async fn wait_told(node: &Node) {
    let until = Instant::now() + CONDITION_TIME;
    loop {
        let metrics = cluster::metrics(std::slice::from_ref(node)).await;
        let heard = metrics.get("copperwell_quarantine_heard_total");
        if heard.is_some_and(|heard| *heard > 0.0) {
            return;
        }
        assert!(Instant::now() < until, "{} was never told", node.name);
        sleep(LOOK).await;
    }
}

/// How often servers crashed by a request.
fn crashes(bench: &Bench) -> u64 {
    let servers = bench.cluster.servers.values();
    servers.map(|server| server.counts().crashes).sum()
}

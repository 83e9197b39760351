//! Connections that go silent for good while new ones work.

use std::time::Duration;

use copperwell_message::{Reason, Verdict};

use crate::{
    support::{Bench, GROUP, HERE},
    test_request::Ask,
};

/// How long a request runs that is not to finish.
const LONG: Duration = Duration::from_secs(20);

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_between_leader_and_servers() {
    let bench = Bench::start_with(|plan| plan.proxies_servers = true).await;
    let once = Ask::new(&bench, GROUP, LONG);
    let entry = bench.ingress(GROUP).await.addresses.callers;
    let answer = once.send(entry);
    bench.wait_running(HERE).await;
    bench.cluster.ways.values().for_each(|way| way.hush());
    let answer = answer.await.unwrap();
    let expected = (Some(Verdict::MayHaveRun), Some(Reason::ConnectionSilent));
    assert_eq!(answer.outcome(), expected, "{answer:?}");
    bench.serves().await;
    // Idle connections that went silent cost repeatable requests a try and no more.
    let load = bench.load();
    bench.serves().await;
    bench.cluster.ways.values().for_each(|way| way.hush());
    bench.serves().await;
    bench.check(load).await;
    assert_eq!(bench.cluster.record.times_run(&once.id.to_string()), 1);
    assert_eq!(bench.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_between_daemons() {
    let bench = Bench::start_proxied().await;
    let load = bench.load();
    let once = Ask::new(&bench, GROUP, LONG);
    let entry = bench.ingress(GROUP).await.addresses.callers;
    let answer = once.send(entry);
    bench.wait_running(HERE).await;
    for node in &bench.cluster.nodes {
        let doors = node.doors.as_ref().unwrap();
        doors.requests.hush();
        doors.control.hush();
    }
    let answer = answer.await.unwrap();
    assert_eq!(answer.verdict, Some(Verdict::MayHaveRun), "{answer:?}");
    bench.serves().await;
    bench.check(load).await;
    assert!(bench.cluster.record.times_run(&once.id.to_string()) <= 1);
    assert_eq!(bench.moves(), []);
}

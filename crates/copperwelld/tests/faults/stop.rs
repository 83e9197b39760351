//! What SIGTERM does.

use std::time::Duration;

use copperwell_message::Verdict;
use copperwell_standin::backend::record::Outcome;
use test_case::test_case;
use tokio::task::spawn_blocking;

use crate::{
    support::{Bench, GROUP, HERE, is_ready},
    test_request::Ask,
};

/// How long a request runs that is to finish.
const SHORT: Duration = Duration::from_secs(1);

/// How long a request runs that is not to finish.
const LONG: Duration = Duration::from_secs(20);

#[test_case(true; "of the leader")]
#[test_case(false; "of the ingress")]
#[tokio::test(flavor = "multi_thread")]
async fn stop_finishes_what_is_in_flight(is_leader: bool) {
    let mut bench = Bench::start_patient().await;
    let ask = Ask::new(&bench, GROUP, SHORT);
    let leader = bench.leader(GROUP).await;
    let mut nodes = bench.cluster.nodes.iter();
    let ingress = nodes.find(|node| *node.name != *leader).unwrap();
    let name = ingress.name.to_string();
    let answer = ask.send(ingress.addresses.callers);
    bench.wait_running(HERE).await;
    let stopping = if is_leader { leader } else { name };
    let mut node = bench.cluster.take_node(&stopping);
    let ended = spawn_blocking(move || {
        node.terminate();
        node.wait()
    });
    let answer = answer.await.unwrap();
    assert_eq!(answer.verdict, Some(Verdict::Done), "{answer:?}");
    assert!(ended.await.unwrap(), "{stopping} did not stop in order");
    bench.cluster.list();
    bench.serves().await;
    assert_eq!(bench.cluster.record.times_run(&ask.id.to_string()), 1);
    bench.check_record();
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_ends_at_once() {
    let mut bench = Bench::start_patient().await;
    let ask = Ask::new(&bench, GROUP, LONG);
    let leader = bench.leader(GROUP).await;
    let mut nodes = bench.cluster.nodes.iter();
    let ingress = nodes.find(|node| *node.name != *leader).unwrap();
    let name = ingress.name.to_string();
    let answer = ask.send(ingress.addresses.callers);
    bench.wait_running(HERE).await;
    let mut node = bench.cluster.take_node(&name);
    node.terminate();
    while is_ready(&node).await {}
    node.terminate();
    let ended = spawn_blocking(move || node.wait());
    assert!(!ended.await.unwrap(), "it stopped in order");
    let runs = bench.cluster.record.runs().into_iter();
    let mut own = runs.filter(|run| run.idempotency == Some(ask.id.to_string()));
    assert_ne!(own.next().unwrap().outcome, Outcome::Done);
    let answer = answer.await.unwrap();
    assert_eq!(answer.verdict, None, "{answer:?}");
    bench.serves().await;
    bench.check_record();
}

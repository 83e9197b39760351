//! Requests that are not repeatable, in flight when something happens.

use std::time::Duration;

use copperwell_message::Verdict;

use crate::{
    support::{Bench, GROUP, HERE},
    test_request::Ask,
};

/// How long a request runs that is to finish.
const SHORT: Duration = Duration::from_secs(1);

/// How long a request runs that is not to finish.
const LONG: Duration = Duration::from_secs(20);

#[tokio::test(flavor = "multi_thread")]
async fn resend_through_another_daemon_while_the_first_is_in_flight() {
    let bench = Bench::start_patient().await;
    let ask = Ask::new(&bench, GROUP, SHORT);
    let ways: Vec<_> = bench.cluster.nodes.iter().collect();
    let first = ask.send(ways[0].addresses.callers);
    bench.wait_running(HERE).await;
    let others = ways[1..]
        .iter()
        .map(|node| ask.send(node.addresses.callers));
    let others: Vec<_> = others.collect();
    let first = first.await.unwrap();
    assert_eq!(first.verdict, Some(Verdict::Done), "{first:?}");
    for other in others {
        assert_eq!(other.await.unwrap(), first);
    }
    assert_eq!(bench.cluster.record.times_run(&ask.id.to_string()), 1);
    bench.check_record();
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_between_send_and_answer() {
    let mut bench = Bench::start_patient().await;
    let ask = Ask::new(&bench, GROUP, LONG);
    let leader = bench.leader(GROUP).await;
    let mut nodes = bench.cluster.nodes.iter();
    let ingress = nodes.find(|node| *node.name != *leader).unwrap();
    let ingress = ingress.addresses.callers;
    let first = ask.send(ingress);
    bench.wait_running(HERE).await;
    let _old = bench.kill(&leader);
    let first = first.await.unwrap();
    assert_eq!(first.verdict, Some(Verdict::MayHaveRun), "{first:?}");
    bench.new_leader(GROUP, &leader).await;
    bench.serves().await;
    let again = ask.send(ingress).await.unwrap();
    assert_eq!(again.verdict, Some(Verdict::MayHaveRun), "{again:?}");
    assert_eq!(bench.cluster.record.times_run(&ask.id.to_string()), 1);
    bench.check_record();
}

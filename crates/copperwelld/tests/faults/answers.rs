//! Answers that are late, cross each other, or break off.

use std::time::Duration;

use copperwell_message::{Reason, Verdict};
use copperwell_standin::backend::{
    record::Outcome,
    switch::header::{FAULT, HALF, PADDING},
};
use http_body_util::BodyExt;
use test_case::test_case;

use crate::{
    support::{Bench, GROUP, HERE, OTHER_GROUP},
    test_request::Ask,
};

/// How long the first of the requests runs whose answers cross.
const FIRST: Duration = Duration::from_millis(300);

/// How much shorter each next one is.
const STEP: Duration = Duration::from_millis(50);

/// How long a request runs that is not to finish.
const LONG: Duration = Duration::from_secs(20);

/// How long a caller waits for what comes late.
const DEADLINE: Duration = Duration::from_secs(1);

/// How late an answer is.
const LATE: Duration = Duration::from_secs(2);

/// The size of an answer that no buffer on its way holds, in bytes.
const LARGE: usize = 64 << 20;

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_cross_each_other() {
    let bench = Bench::start_patient().await;
    let mut sent = Vec::new();
    for node in &bench.cluster.nodes {
        for group in [GROUP, OTHER_GROUP] {
            for number in 0..6 {
                let time = FIRST - STEP * number;
                for ask in [
                    Ask::new(&bench, group, time),
                    Ask::repeatable(&bench, group, time),
                ] {
                    sent.push((ask.send(node.addresses.callers), ask));
                }
            }
        }
    }
    for (answer, ask) in sent {
        let answer = answer.await.unwrap();
        assert!(ask.is_own(&answer), "{ask:?} got {answer:?}");
    }
    bench.check_record();
}

/// Why an answer is late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Late {
    /// The request runs too long.
    Run,
    /// It ran in time, and its answer is held back.
    Answer,
}

#[test_case(Late::Run; "that runs too long")]
#[test_case(Late::Answer; "whose answer is held back")]
#[tokio::test(flavor = "multi_thread")]
async fn request_past_its_deadline(late: Late) {
    let bench = Bench::start_patient().await;
    let time = match late {
        Late::Run => LONG,
        Late::Answer => Duration::ZERO,
    };
    if late == Late::Answer {
        for server in bench.cluster.servers.values() {
            server.delay_answers(LATE);
        }
    }
    let ask = Ask::new(&bench, GROUP, time).with_deadline(DEADLINE);
    let entry = bench.ingress(GROUP).await.addresses.callers;
    let answer = ask.send(entry).await.unwrap();
    let expected = (Some(Verdict::MayHaveRun), Some(Reason::DeadlinePassed));
    assert_eq!(answer.outcome(), expected, "{answer:?}");
    for server in bench.cluster.servers.values() {
        server.delay_answers(Duration::ZERO);
    }
    // Whoever asks next gets an answer of its own, not the late one.
    for node in &bench.cluster.nodes {
        let next = Ask::new(&bench, GROUP, Duration::ZERO);
        let answer = next.send(node.addresses.callers).await.unwrap();
        assert!(next.is_own(&answer), "{next:?} got {answer:?}");
        let again = ask.send(node.addresses.callers).await.unwrap();
        assert_eq!(again.verdict, Some(Verdict::MayHaveRun), "{again:?}");
    }
    assert_eq!(bench.cluster.record.times_run(&ask.id.to_string()), 1);
    bench
        .wait("the server was told to stop", |cluster| {
            let mut servers = cluster.servers.values();
            servers.all(|server| server.counts().running == 0)
        })
        .await;
    bench.check_record();
}

#[test_case(Ask::new; "not repeatable")]
#[test_case(Ask::repeatable; "repeatable")]
#[tokio::test(flavor = "multi_thread")]
async fn half_written_answer_is_never_whole(new: fn(&Bench, &str, Duration) -> Ask) {
    let bench = Bench::start_patient().await;
    let ask = new(&bench, GROUP, Duration::ZERO).with_field(FAULT, HALF);
    for node in &bench.cluster.nodes {
        let answer = ask.send(node.addresses.callers).await.unwrap();
        let is_whole = answer.verdict == Some(Verdict::Done) && answer.body.is_some();
        assert!(!is_whole, "{answer:?}");
        assert_ne!(answer.verdict, Some(Verdict::NotRun), "{answer:?}");
    }
    let next = Ask::new(&bench, GROUP, Duration::ZERO);
    let answer = next.send(bench.cluster.nodes[0].addresses.callers).await;
    let answer = answer.unwrap();
    assert!(next.is_own(&answer), "{answer:?}");
    bench.check_record();
}

/// Where a connection is reset while an answer is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reset {
    Server,
    Leader,
}

#[test_case(Reset::Server; "between leader and server")]
#[test_case(Reset::Leader; "between ingress and leader")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_reset_in_mid_body_is_never_whole(reset: Reset) {
    let bench = Bench::start_with(|plan| {
        plan.is_proxied = true;
        plan.proxies_servers = true;
    })
    .await;
    let ask = Ask::new(&bench, GROUP, Duration::ZERO).with_field(PADDING, LARGE);
    let leader = bench.leader(GROUP).await;
    let leader = bench.cluster.node(&leader).unwrap();
    let ingress = bench.ingress(GROUP).await.addresses.callers;
    let answer = ask.open(ingress).await.unwrap();
    match reset {
        Reset::Server => bench.cluster.ways.values().for_each(|way| way.reset()),
        Reset::Leader => leader.doors.as_ref().unwrap().requests.reset(),
    }
    let body = answer.into_body().collect().await;
    assert!(body.is_err(), "the answer came whole");
    let again = ask.send(ingress).await.unwrap();
    assert_ne!(again.verdict, Some(Verdict::NotRun), "{again:?}");
    bench.serves().await;
    assert_eq!(bench.cluster.record.times_run(&ask.id.to_string()), 1);
    bench.check_record();
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_hangs_up_cancels_at_the_server() {
    let bench = Bench::start_patient().await;
    let ask = Ask::repeatable(&bench, GROUP, LONG);
    let entry = bench.ingress(GROUP).await.addresses.callers;
    let answer = ask.send(entry);
    bench.wait_running(HERE).await;
    answer.abort();
    bench
        .wait("the request is cancelled", |cluster| {
            let mut servers = cluster.servers.values();
            servers.any(|server| server.counts().cancelled == 1)
        })
        .await;
    let runs = bench.cluster.record.runs();
    assert!(runs.iter().all(|run| run.outcome != Outcome::Running));
    bench.check_record();
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_is_not_repeatable_outlives_its_caller() {
    let bench = Bench::start_patient().await;
    let ask = Ask::new(&bench, GROUP, DEADLINE);
    let entry = bench.ingress(GROUP).await.addresses.callers;
    let answer = ask.send(entry);
    bench.wait_running(HERE).await;
    answer.abort();
    let again = ask.send(entry).await.unwrap();
    assert!(ask.is_own(&again), "{again:?}");
    assert_eq!(bench.cluster.record.times_run(&ask.id.to_string()), 1);
    bench.check_record();
}

//! Upstreams that name the requests a second that they take from all daemons together.

use std::{process::Stdio, sync::Arc, time::Duration};

use crate::{
    crash::remove_leader,
    harness::{CONDITION_TIMEOUT, Daemon, Harness},
    standin::{
        cluster, config, rule,
        server::{Faults, Server},
    },
};
use http::StatusCode;
use rustix::process::Signal;
use test_case::test_case;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// The interval at which a round of requests is sent.
const ROUND: Duration = Duration::from_millis(220);

/// The requests of a round, at the daemons in turn.
const REQUESTS: usize = 6;

/// How long after a limit is first named it holds.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The rounds before a limit is named, and after it has ended.
const ROUNDS_BEFORE: usize = 5;

/// The rounds while a limit is named.
const ROUNDS_LIMITED: usize = 50;

/// What becomes of a daemon while a limit holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// One daemon is stopped for a time.
    Paused,
    /// The leader is killed.
    LeaderLost,
}

/// The answers that callers got.
#[derive(Debug, Default)]
struct Answers {
    served: usize,
    refused: usize,
    other: Vec<String>,
}

impl Answers {
    fn add(&mut self, more: Self) {
        self.served += more.served;
        self.refused += more.refused;
        self.other.extend(more.other);
    }
}

/// Starts daemons and servers of `pay`, which may be divided by key.
async fn start(servers: usize, is_keyed: bool) -> Harness {
    let mut harness = Harness::start(0).await;
    let rules = [
        rule("cups", "idempotent", "cups"),
        rule("pay", "idempotent", "pay"),
    ];
    let clusters = [cluster("cups", true), cluster("pay", is_keyed)];
    harness.store.configure(&config(5, &rules, &clusters));
    harness.servers.truncate(crate::harness::SERVERS);
    for number in 0..servers {
        let id = format!("p{number}");
        let server = Server::start(&id, "pay", is_keyed, harness.store.writer());
        harness.servers.push(server.await);
    }
    for _ in 0..3 {
        let daemon = Daemon::start(&harness.store, Stdio::null());
        harness.daemons.push(daemon);
    }
    harness.wait_served().await;
    harness
}

/// Sets the limit that the first server of `pay` names.
fn set_limit(harness: &Harness, limit: Option<f64>) {
    for server in &harness.servers[crate::harness::SERVERS..] {
        let work = Duration::from_millis(20);
        let is_first = server.id == "p0";
        server.set(Faults {
            work,
            limit: limit.filter(|_| is_first),
            ..Faults::default()
        });
    }
}

/// Sends rounds of requests, and returns what became of them.
async fn send_rounds(harness: &Arc<Harness>, rounds: usize, name: &str) -> Answers {
    let mut sends = JoinSet::new();
    for round in 0..rounds {
        for number in 0..REQUESTS {
            let harness = harness.clone();
            let id = format!("{name}-{round}-{number}");
            sends.spawn(async move {
                let daemon = number % harness.daemons.len();
                let key = u16::try_from((round * 7_919 + number * 10_007) % 65_536).unwrap();
                harness.send(daemon, "/pay/1", &id, key).await
            });
        }
        sleep(ROUND).await;
    }
    let mut answers = Answers::default();
    while let Some(response) = sends.join_next().await {
        match response.unwrap() {
            Some((StatusCode::OK, _)) => answers.served += 1,
            Some((StatusCode::SERVICE_UNAVAILABLE, _)) => answers.refused += 1,
            other => answers.other.push(format!("{other:?}")),
        }
    }
    answers
}

/// Returns the first arrival at the first server of `pay` from `since` on.
fn first_arrival(harness: &Harness, since: Instant) -> Option<Instant> {
    let server = harness.servers.iter().find(|server| server.id == "p0");
    let arrivals = server.unwrap().arrivals();
    arrivals.into_iter().filter(|at| *at >= since).min()
}

/// Sends rounds of requests until the first server of `pay` has got one, and so has named its limit; returns when it got
/// that, and what became of the requests.
///
/// A daemon that has had a slow answer of a server prefers the others for some seconds.
async fn send_until_named(harness: &Arc<Harness>) -> (Instant, Answers) {
    let since = Instant::now();
    let mut answers = Answers::default();
    for round in 0.. {
        answers.add(send_rounds(harness, 1, &format!("naming-{round}")).await);
        if let Some(named_at) = first_arrival(harness, since) {
            return (named_at, answers);
        }
        assert!(
            since.elapsed() < CONDITION_TIMEOUT,
            "the server with the limit gets no request"
        );
    }
    unreachable!("the rounds are not limited")
}

/// Returns the most arrivals at the first server of `pay` within [`WINDOW`], from `since` on.
fn most_arrivals(harness: &Harness, since: Instant) -> usize {
    let server = harness.servers.iter().find(|server| server.id == "p0");
    let mut arrivals = server.unwrap().arrivals();
    arrivals.retain(|at| *at >= since);
    let within = |start: &Instant| {
        let end = *start + WINDOW;
        arrivals
            .iter()
            .filter(|at| (*start..end).contains(at))
            .count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

/// Returns the most arrivals that a limit allows within [`WINDOW`].
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

#[test_case(4, 2.0, false, Trouble::None; "2 a second at one of four")]
#[test_case(4, 0.8, false, Trouble::None; "less than one a second")]
#[test_case(1, 3.3, false, Trouble::None; "no other server")]
#[test_case(3, 2.0, true, Trouble::None; "with keys")]
#[test_case(4, 2.0, false, Trouble::Paused; "a daemon is paused")]
#[test_case(4, 2.0, false, Trouble::LeaderLost; "the leader is lost")]
#[tokio::test(flavor = "multi_thread")]
async fn daemons_together_send_more_than_an_upstream_takes(
    servers: usize,
    limit: f64,
    is_keyed: bool,
    trouble: Trouble,
) {
    let mut harness = start(servers, is_keyed).await;
    set_limit(&harness, None);
    let mut shared = Arc::new(harness);
    send_rounds(&shared, ROUNDS_BEFORE, "before").await;
    set_limit(&shared, Some(limit));
    let (limited_at, mut answers) = send_until_named(&shared).await;
    answers.add(send_rounds(&shared, ROUNDS_LIMITED / 2, "first").await);
    harness = Arc::into_inner(shared).unwrap();
    let paused = match trouble {
        Trouble::None => None,
        Trouble::Paused => Some(harness.daemons.pop().unwrap()),
        Trouble::LeaderLost => {
            drop(remove_leader(&mut harness).await);
            None
        }
    };
    if let Some(daemon) = &paused {
        daemon.signal(Signal::STOP);
    }
    shared = Arc::new(harness);
    answers.add(send_rounds(&shared, ROUNDS_LIMITED / 2, "second").await);
    drop(paused);
    let most = most_arrivals(&shared, limited_at + STABLE_WINDOW);
    assert!(
        most <= allowed(limit),
        "{most} in 4 s, allowed {}",
        allowed(limit)
    );
    let least = (limit * 0.6 * WINDOW.as_secs_f64()) as usize;
    assert!(most >= least, "{most} in 4 s: the limit is not used up");
    assert_eq!(answers.other, [""; 0]);
    if servers > 1 && !is_keyed {
        assert_eq!(answers.refused, 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_is_kept_after_an_upstream_names_it_no_more() {
    let harness = Arc::new(start(1, false).await);
    set_limit(&harness, Some(1.0));
    let limited = send_rounds(&harness, ROUNDS_LIMITED / 2, "limited").await;
    assert!(limited.refused > 0);
    set_limit(&harness, None);
    // An answer without the limit has to arrive first.
    send_rounds(&harness, ROUNDS_LIMITED / 2, "ending").await;
    let free = send_rounds(&harness, ROUNDS_BEFORE, "free").await;
    assert_eq!((free.refused, free.served), (0, ROUNDS_BEFORE * REQUESTS));
}

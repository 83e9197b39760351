//! Upstreams that warm up after a restart, and crash if they get too many requests meanwhile.

use std::{process::Stdio, sync::Arc, time::Duration};

use crate::{
    crash::remove_leader,
    harness::{Daemon, Harness, SERVERS},
    standin::{
        cluster, config, rule,
        server::{Faults, Server},
        with_warmup, with_warmup_bounds,
    },
};
use http::StatusCode;
use test_case::test_case;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const DAEMONS: usize = 3;

/// The interval at which a round of requests is sent.
const ROUND: Duration = Duration::from_millis(50);

/// The requests of a round, at the daemons in turn: 180 a second.
const REQUESTS: usize = 9;

/// The rounds before an upstream restarts, and from then on until it is warm again.
pub(crate) const ROUNDS_BEFORE: usize = 30;
pub(crate) const ROUNDS_COLD: usize = 70;

/// How long an upstream warms up.
pub(crate) const WARMUP: Duration = Duration::from_secs(3);

/// How long after its restart the store hears of it.
const UNREGISTERED: Duration = Duration::from_millis(800);

/// The requests a second while an upstream warms up.
const RATE: f64 = 4.1;

/// The most requests in any second from all daemons: 1.5 times the rate, and 8.
pub(crate) const LIMIT: usize = 14;

/// What happens beside the restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// The leader is killed as the upstream restarts.
    LeaderLost,
}

/// Starts daemons and servers of `pay`, which may be divided by key.
async fn start(servers: usize, is_keyed: bool) -> Harness {
    start_with(servers, is_keyed, "3s").await
}

/// Starts daemons and servers of `pay` as [`start`] does, which warm up for `warmup` by the configuration.
pub(crate) async fn start_with(servers: usize, is_keyed: bool, warmup: &str) -> Harness {
    let mut harness = Harness::start(0).await;
    let rules = [
        rule("cups", "idempotent", "cups"),
        rule("pay", "idempotent", "pay"),
    ];
    let pay = with_warmup(cluster("pay", is_keyed), warmup, RATE);
    let clusters = [cluster("cups", true), pay];
    harness.store.configure(&config(5, &rules, &clusters));
    harness.servers.truncate(SERVERS);
    for number in 0..servers {
        let id = format!("p{number}");
        let server = Server::start(&id, "pay", is_keyed, harness.store.writer()).await;
        server.set(Faults {
            work: Duration::from_millis(10),
            ..Faults::default()
        });
        harness.servers.push(server);
    }
    for _ in 0..DAEMONS {
        let with_bounds = |settings: String| with_warmup_bounds(&settings, 1.5, 8.0);
        let daemon = Daemon::start_with(&harness.store, Stdio::null(), with_bounds);
        harness.daemons.push(daemon);
    }
    harness.wait_served().await;
    harness
}

/// Sends rounds of requests, and returns how many were served.
pub(crate) async fn send_rounds(harness: &Arc<Harness>, rounds: usize, name: &str) -> usize {
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
    let answers = sends.join_all().await.into_iter().flatten();
    answers
        .filter(|(status, _)| *status == StatusCode::OK)
        .count()
}

/// Returns the most of `times` within any second.
pub(crate) fn most_in_a_second(times: &[Instant]) -> usize {
    let within = |start: &Instant| {
        let end = *start + Duration::from_secs(1);
        times.iter().filter(|at| (*start..end).contains(at)).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// Guards against an upstream that crashes again and again, as each daemon sends it its share while it is cold.
#[test_case(4, false, Trouble::None; "beside warm ones")]
#[test_case(1, false, Trouble::None; "no other one")]
#[test_case(4, true, Trouble::None; "with keys")]
#[test_case(1, true, Trouble::None; "with keys and no other one")]
#[test_case(4, false, Trouble::LeaderLost; "the leader is lost")]
#[test_case(1, false, Trouble::LeaderLost; "the leader is lost and there is no other one")]
#[tokio::test(flavor = "multi_thread")]
async fn restarted_upstream_gets_more_requests_than_it_takes_while_it_warms_up(
    servers: usize,
    is_keyed: bool,
    trouble: Trouble,
) {
    let mut shared = Arc::new(start(servers, is_keyed).await);
    let served = send_rounds(&shared, ROUNDS_BEFORE, "before").await;
    assert!(served > 0);
    let mut harness = Arc::into_inner(shared).unwrap();
    let restarted = &mut harness.servers[SERVERS];
    restarted.restart_cold(WARMUP, UNREGISTERED).await;
    let restarted_at = Instant::now();
    if trouble == Trouble::LeaderLost {
        drop(remove_leader(&mut harness).await);
    }
    shared = Arc::new(harness);
    let served = send_rounds(&shared, ROUNDS_COLD, "cold").await;
    let cold = restarted_at..restarted_at + WARMUP;
    let arrivals = shared.servers[SERVERS].starts_within(&cold);
    let most = most_in_a_second(&arrivals);
    assert!(most <= LIMIT, "{most} in a second, allowed {LIMIT}");
    if servers > 1 {
        let least = ROUNDS_COLD * REQUESTS / 2;
        assert!(served >= least, "{served} served");
    }
    // It is used again.
    let warm_at = Instant::now();
    let deadline = warm_at + crate::harness::CONDITION_TIMEOUT;
    while shared.servers[SERVERS]
        .arrivals()
        .iter()
        .all(|at| *at < warm_at)
    {
        assert!(Instant::now() < deadline, "the upstream is not used again");
        send_rounds(&shared, 5, &format!("{:?}", warm_at.elapsed())).await;
    }
}

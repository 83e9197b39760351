//! Daemons that are cut off from all of many servers, each of which gets few requests.

use std::{process::Stdio, sync::Arc, time::Duration};

use crate::{
    ROOM_ALL,
    harness::{CONDITION_TIMEOUT, Harness},
    standin::{caller::leads, cut::How},
    take_room,
};
use http::StatusCode;
use test_case::test_case;
use tokio::{
    task::JoinSet,
    time::{Instant, interval, sleep, sleep_until},
};

const DAEMONS: usize = 8;

/// The daemons that are cut off.
const CUT_OFF: usize = 3;

const SERVERS: usize = 60;

/// The interval of the requests to each daemon.
const REQUEST_INTERVAL: Duration = Duration::from_secs(2);

/// How long after a cut began daemons may still find out.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// How long after that requests are sent.
const COUNTED: Duration = Duration::from_secs(10);

/// The least share of the requests at daemons that are cut off, compared with the others, that must be served.
const SERVED_RATIO: f64 = 2.0 / 3.0;

/// Requests of one group of daemons.
#[derive(Debug, Clone, Copy, Default)]
struct Served {
    sent: usize,
    served: usize,
}

impl Served {
    fn share(self) -> f64 {
        self.served as f64 / self.sent as f64
    }
}

async fn wait_served(harness: &Harness, daemon: usize, path: &str) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    let mut number = 0;
    loop {
        let id = format!("first{daemon}{path}{number}");
        let response = harness.send(daemon, path, &id, 7).await;
        if response.is_some_and(|(status, _)| status == StatusCode::OK) {
            return;
        }
        number += 1;
        assert!(
            Instant::now() < deadline,
            "daemon {daemon}: {path} is not served"
        );
        sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the daemons that are cut off, the leader among them or not.
fn cut_off(harness: &Harness, with_leader: bool) -> Vec<usize> {
    let is_leader = |daemon: &usize| leads(&harness.store, &harness.daemons[*daemon].name());
    let mut daemons: Vec<usize> = (0..DAEMONS).collect();
    daemons.sort_by_key(|daemon| is_leader(daemon) != with_leader);
    daemons.truncate(CUT_OFF);
    daemons
}

/// Sends a request to each daemon at each interval, to the services in turn; returns those sent once `counted_from` is
/// past, of the daemons that are cut off and of the others.
async fn ask(
    harness: &Arc<Harness>,
    paths: &[&'static str],
    cut_off: &[usize],
    counted_from: Instant,
) -> (Served, Served) {
    let mut requests = JoinSet::new();
    for daemon in 0..DAEMONS {
        let mut ticks = interval(REQUEST_INTERVAL);
        let first = Instant::now() + REQUEST_INTERVAL.mul_f64(daemon as f64 / DAEMONS as f64);
        let (harness, paths) = (harness.clone(), paths.to_vec());
        requests.spawn(async move {
            sleep_until(first).await;
            let mut sent = JoinSet::new();
            for number in 0.. {
                ticks.tick().await;
                let now = Instant::now();
                if now >= counted_from + COUNTED {
                    break;
                }
                let (harness, path) = (harness.clone(), paths[number % paths.len()]);
                sent.spawn(async move {
                    let id = format!("{daemon}-{number}");
                    let key = u16::try_from(number * 1_009 % 65_536).unwrap();
                    let response = harness.send(daemon, path, &id, key).await;
                    let is_served = response.is_some_and(|(status, _)| status == StatusCode::OK);
                    (daemon, now >= counted_from, is_served)
                });
            }
            sent.join_all().await
        });
    }
    let (mut apart, mut others) = (Served::default(), Served::default());
    for (daemon, counts, is_served) in requests.join_all().await.into_iter().flatten() {
        let group = match cut_off.contains(&daemon) {
            true => &mut apart,
            false => &mut others,
        };
        group.sent += usize::from(counts);
        group.served += usize::from(counts && is_served);
    }
    (apart, others)
}

#[test_case(How::Silent, 30, true; "connections hang, with the leader")]
#[test_case(How::Silent, 30, false; "connections hang, without the leader")]
#[test_case(How::Silent, 0, true; "connections hang, no service has keys")]
#[test_case(How::Reset, 30, true; "connections are reset, with the leader")]
#[tokio::test(flavor = "multi_thread")]
async fn daemons_with_few_requests_for_each_server_serve_nobody_while_cut_off(
    how: How,
    keyed: usize,
    with_leader: bool,
) {
    let _room = take_room(ROOM_ALL).await;
    let unkeyed = SERVERS - keyed;
    let zones = ["here"; DAEMONS];
    let harness = Harness::start_with_servers(&zones, keyed, unkeyed, |_| Stdio::null()).await;
    let paths: &[&str] = match keyed {
        0 => &["/pay/1"],
        _ => &["/cups/1", "/pay/1"],
    };
    for (daemon, path) in
        (0..DAEMONS).flat_map(|daemon| paths.iter().map(move |path| (daemon, path)))
    {
        wait_served(&harness, daemon, path).await;
    }
    let cut_off = cut_off(&harness, with_leader);
    let ids: Vec<u32> = cut_off
        .iter()
        .map(|daemon| harness.daemons[*daemon].child.id())
        .collect();
    for server in &harness.servers {
        server.cut.set(&ids, how);
    }
    let counted_from = Instant::now() + STABLE_WINDOW;
    let harness = Arc::new(harness);
    let (apart, others) = ask(&harness, paths, &cut_off, counted_from).await;
    assert!(
        apart.share() >= SERVED_RATIO * others.share() && others.share() >= SERVED_RATIO,
        "cut off: {apart:?}, others: {others:?}"
    );
}

//! Daemons that are cut off from all servers, while callers, the store and the other daemons reach them.

use std::{
    collections::HashSet,
    fs::{self, File},
    path::Path,
    process::Stdio,
    time::Duration,
};

use crate::{
    harness::{CONDITION_TIMEOUT, Harness},
    standin::{
        caller::{asking_within, leads},
        cluster, config,
        cut::How,
        rule,
        server::{Faults, Server},
        with_limits,
    },
    take_room,
};
use http::{Request, StatusCode};
use http_body_util::Full;
use rustix::process::Signal;
use serde_json::json;
use test_case::test_case;
use tokio::time::{Instant, sleep, sleep_until};

const DAEMONS: usize = 4;

/// The data centres of the daemons; the servers are in the first one.
const ZONES: [&str; DAEMONS] = ["here", "here", "there", "there"];

/// The requests that are sent to each daemon and service while the cut lasts.
const REQUESTS: usize = 60;

/// The least share of the requests at daemons that are cut off, compared with the others, that must be served.
const SERVED_RATIO: f64 = 2.0 / 3.0;

/// How long after a cut began daemons may still find out.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// How long a caller waits who is to be served while connections hang.
const PATIENCE: Duration = Duration::from_secs(20);

/// How long a server works on a request that goes through a daemon that stops: longer than that daemon takes
/// connections, and shorter than its grace.
const HELPED_WORK: Duration = Duration::from_secs(4);

/// How long a server works on a request whose daemon stops meanwhile: longer than that daemon's grace.
const DENIED_WORK: Duration = Duration::from_secs(8);

/// A body that daemons pass on as it arrives, in bytes.
const STREAMED_BYTES: usize = 200_000;

/// Which daemons are cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Who {
    Follower,
    Leader,
    /// All but one that follows.
    Most,
    /// All of a data centre.
    Zone,
}

fn cut_off(who: Who, harness: &Harness) -> Vec<usize> {
    let is_leader = |daemon: &usize| leads(&harness.store, &harness.daemons[*daemon].name());
    let all = 0..harness.daemons.len();
    match who {
        Who::Leader => all.filter(is_leader).collect(),
        Who::Follower => all.filter(|daemon| !is_leader(daemon)).take(1).collect(),
        Who::Most => {
            let spared = all.clone().find(|daemon| !is_leader(daemon));
            all.filter(|daemon| Some(*daemon) != spared).collect()
        }
        Who::Zone => all.filter(|daemon| ZONES[*daemon] == "there").collect(),
    }
}

async fn is_served(harness: &Harness, daemon: usize, path: &str, id: &str, key: u16) -> bool {
    let response = harness.send(daemon, path, id, key).await;
    response.is_some_and(|(status, _)| status == StatusCode::OK)
}

/// Waits until a daemon serves requests of both services; `when` makes their ids unique.
async fn wait_served(harness: &Harness, daemon: usize, when: &str) {
    for path in ["/cups/1", "/pay/1"] {
        let deadline = Instant::now() + CONDITION_TIMEOUT / 3;
        let id = |number| format!("{when}{daemon}{path}{number}");
        let mut number = 0;
        while !is_served(harness, daemon, path, &id(number), 7).await {
            number += 1;
            assert!(
                Instant::now() < deadline,
                "daemon {daemon}: {path} is not served {when}"
            );
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Waits until all daemons use their own connections to the servers again.
async fn wait_direct(harness: &Harness) {
    for daemon in &harness.daemons {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        let is_direct = |text: String| text.contains("copperwell_gateway_lost_paths 0\n");
        while !daemon.metrics(&harness.client).await.is_some_and(is_direct) {
            assert!(
                Instant::now() < deadline,
                "{} still takes paths for lost",
                daemon.name()
            );
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Puts routes in force at a daemon whose requests last for [`PATIENCE`]; those of `cups` and `pay` may be repeated.
async fn set_patience(harness: &Harness, daemon: usize) {
    let routes = [
        ("cups", "idempotent", "cups"),
        ("pay", "idempotent", "pay"),
        ("book", "non_idempotent", "cups"),
        ("buy", "non_idempotent", "pay"),
    ];
    let rules = routes.map(|(prefix, kind, service)| {
        let mut rule = rule(prefix, kind, service);
        rule["action"]["timeout"] = json!(format!("{}s", PATIENCE.as_secs()));
        rule
    });
    let clusters = [cluster("cups", true), cluster("pay", false)];
    let config = config(3, &rules, &clusters);
    let config = with_limits(config, 16_384, 2 * STREAMED_BYTES, 15_000);
    harness.store.configure(&config);
    let in_force = Some(json!(3));
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while harness.daemons[daemon]
        .status(&harness.client, "configuration")
        .await
        != in_force
    {
        assert!(
            Instant::now() < deadline,
            "the configuration is not in force"
        );
        sleep(Duration::from_millis(50)).await;
    }
}

/// Sends a request that lasts for up to [`PATIENCE`], and returns the status of the response.
async fn send_patiently(
    harness: &Harness,
    daemon: usize,
    path: &str,
    body_bytes: usize,
) -> StatusCode {
    let request = Request::post(harness.daemons[daemon].url(0, path)).header("host", "app.example");
    let request = asking_within(request, &patient_id(path), 7, PATIENCE);
    let request = request.body(Full::from(vec![b'b'; body_bytes])).unwrap();
    harness.client.request(request).await.unwrap().status()
}

/// Cuts the one of two daemons off that does not lead, and returns it once it is served through the other one; requests
/// of [`PATIENCE`] take `work` then.
async fn cut_follower_off(harness: &Harness, work: Duration) -> usize {
    let daemon = cut_off(Who::Follower, harness)[0];
    set_patience(harness, daemon).await;
    set_patience(harness, 1 - daemon).await;
    let id = harness.daemons[daemon].child.id();
    for server in &harness.servers {
        server.cut.set(&[id], How::Reset);
    }
    wait_served(harness, daemon, "while cut off").await;
    for server in &harness.servers {
        server.set(Faults {
            work,
            ..Faults::default()
        });
    }
    daemon
}

fn patient_id(path: &str) -> String {
    format!("patient{path}")
}

#[test_case("/cups/1"; "with a key")]
#[test_case("/pay/1"; "without a key")]
#[tokio::test(flavor = "multi_thread")]
async fn request_of_another_daemon_is_broken_off_when_the_helper_stops(path: &str) {
    let _room = take_room(1).await;
    let mut harness = Harness::start(2).await;
    harness.wait_served().await;
    let daemon = cut_follower_off(&harness, HELPED_WORK).await;
    let is_running = || {
        let mut servers = harness.servers.iter();
        servers.any(|server| server.runs().contains(&patient_id(path)))
    };
    let stopping = async {
        while !is_running() {
            sleep(Duration::from_millis(5)).await;
        }
        harness.daemons[1 - daemon].signal(Signal::TERM);
    };
    let (status, ()) = tokio::join!(send_patiently(&harness, daemon, path, 0), stopping);
    assert_eq!(status, StatusCode::OK);
    assert_eq!(harness.daemons[1 - daemon].wait_exited().await, Some(0));
}

/// Guards against 503, which promises "not run", for a request that a server runs: the daemon that stops has sent it
/// through another one.
#[test_case("/book/1", 0; "with a key")]
#[test_case("/buy/1", 0; "without a key")]
#[test_case("/book/1", STREAMED_BYTES; "with a key and a streamed body")]
#[tokio::test(flavor = "multi_thread")]
async fn stopping_daemon_denies_that_a_request_at_a_helper_has_run(path: &str, body_bytes: usize) {
    let _room = take_room(1).await;
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(std::process::id().to_string());
    fs::create_dir_all(&folder).unwrap();
    let log = |daemon: usize| {
        let case = path.replace('/', "-");
        folder.join(format!("denied{case}-{body_bytes}-{daemon}.log"))
    };
    let output = |daemon: usize| Stdio::from(File::create(log(daemon)).unwrap());
    let mut harness = Harness::start_in(&ZONES[..2], output).await;
    harness.wait_served().await;
    let daemon = cut_follower_off(&harness, DENIED_WORK).await;
    let runs = || {
        let runs = harness.servers.iter().flat_map(Server::runs);
        runs.filter(|id| *id == patient_id(path)).count()
    };
    let stopping = async {
        while runs() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        harness.daemons[daemon].signal(Signal::TERM);
    };
    let sending = send_patiently(&harness, daemon, path, body_bytes);
    let (status, ()) = tokio::join!(sending, stopping);
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(runs(), 1);
    assert_eq!(harness.daemons[daemon].wait_exited().await, Some(0));
    // The line of the request tells with whom it was, and what was known of it.
    let helper = harness.daemons[1 - daemon].ip.clone();
    let text = fs::read_to_string(log(daemon)).unwrap();
    let is_line = |line: &&str| {
        line.contains("request-refused") && line.contains(&format!("{:?}", patient_id(path)))
    };
    let line = text.lines().find(is_line).unwrap();
    for field in [
        format!("\"helper\":\"{helper}:"),
        "\"verdict\":\"may-have-run\"".to_owned(),
        "\"reason\":\"stopping\"".to_owned(),
    ] {
        assert!(line.contains(&field), "{line}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_waits_on_a_connection_that_hangs_until_its_timeout() {
    let _room = take_room(1).await;
    let harness = Harness::start_in(&ZONES, |_| Stdio::null()).await;
    harness.wait_served().await;
    let daemon = cut_off(Who::Follower, &harness)[0];
    set_patience(&harness, daemon).await;
    let id = harness.daemons[daemon].child.id();
    for server in &harness.servers {
        server.cut.set(&[id], How::Silent);
    }
    for path in ["/cups/1", "/pay/1"] {
        let status = send_patiently(&harness, daemon, path, 0).await;
        assert_eq!(status, StatusCode::OK, "{path}");
    }
}

#[test_case(Who::Follower, How::Reset; "one daemon")]
#[test_case(Who::Leader, How::Reset; "the leader")]
#[test_case(Who::Most, How::Reset; "most daemons with the leader")]
#[test_case(Who::Zone, How::Reset; "a data centre")]
#[test_case(Who::Follower, How::ResetNew; "one daemon whose open connections go on")]
#[test_case(Who::Follower, How::Silent; "one daemon whose connections hang")]
#[test_case(Who::Leader, How::Silent; "the leader whose connections hang")]
#[test_case(Who::Most, How::Silent; "most daemons with the leader whose connections hang")]
#[test_case(Who::Zone, How::Silent; "a data centre whose connections hang")]
#[tokio::test(flavor = "multi_thread")]
async fn daemon_that_reaches_no_server_serves_nobody(who: Who, how: How) {
    let _room = take_room(1).await;
    let harness = Harness::start_in(&ZONES, |_| Stdio::null()).await;
    harness.wait_served().await;
    let cut_off = cut_off(who, &harness);
    let ids = cut_off
        .iter()
        .map(|daemon| harness.daemons[*daemon].child.id());
    let ids: Vec<u32> = ids.collect();
    for server in &harness.servers {
        server.cut.set(&ids, how);
    }
    let counted_from = Instant::now() + STABLE_WINDOW;
    for daemon in 0..DAEMONS {
        wait_served(&harness, daemon, "while cut off").await;
    }
    sleep_until(counted_from).await;
    for path in ["/cups/1", "/pay/1"] {
        let mut served = [0; DAEMONS];
        for number in 0..REQUESTS {
            for (daemon, served) in served.iter_mut().enumerate() {
                let id = format!("{path}-{daemon}-{number}");
                let key = u16::try_from(number * 1_009).unwrap();
                *served += usize::from(is_served(&harness, daemon, path, &id, key).await);
            }
        }
        let others = (0..DAEMONS).filter(|daemon| !cut_off.contains(daemon));
        let best = others.map(|daemon| served[daemon]).max().unwrap();
        for daemon in &cut_off {
            let share = served[*daemon] as f64 / best as f64;
            assert!(
                share >= SERVED_RATIO,
                "{path}: {served:?}, cut off: {cut_off:?}"
            );
        }
        assert!(best > REQUESTS / 2, "{path}: {served:?}");
    }
    for server in &harness.servers {
        server.cut.set(&[], How::Reset);
    }
    wait_direct(&harness).await;
    for daemon in 0..DAEMONS {
        wait_served(&harness, daemon, "afterwards").await;
    }
    let pay = harness.servers.last().unwrap().runs();
    let once: HashSet<_> = pay.iter().collect();
    assert_eq!(once.len(), pay.len(), "a request ran twice");
}

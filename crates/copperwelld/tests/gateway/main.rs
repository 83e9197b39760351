//! Daemons as processes on the users' platform, against its stand-in.

#[path = "../../../platform/tests/standin/mod.rs"]
mod standin;

use std::{
    fs,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use rustix::process::{Pid, Signal, kill_process};
use standin::{
    cluster, config, rule,
    server::{Faults, Server},
    settings,
    store::{self, Store},
};
use test_case::test_case;
use tokio::time::{Instant, sleep, timeout};

/// How long a condition may take to come true; far more than it needs.
const CONDITION: Duration = Duration::from_secs(60);

const SERVERS: usize = 3;

/// The first port of each daemon.
const PORT: u16 = 7_000;

static DAEMONS: AtomicU16 = AtomicU16::new(0);

/// A daemon's process.
struct Daemon {
    child: Child,
    ip: String,
    port: u16,
}

struct Bench {
    store: Store,
    servers: Vec<Server>,
    daemons: Vec<Daemon>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Daemon {
    fn start(store: &Store, output: Stdio) -> Self {
        let number = DAEMONS.fetch_add(1, Ordering::Relaxed);
        // An address of its own, so that no two daemons want the same port.
        let process = std::process::id();
        let (high, low) = ((process >> 8) % 64, process % 256);
        let ip = format!("127.{}.{low}.{}", 64 + high, number + 1);
        let port = PORT;
        let name = format!("front-{number}");
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.conf"));
        fs::write(&file, settings(&name, &ip, port, store.address)).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_copperwelld"))
            .arg("gateway")
            .arg("--settings")
            .arg(&file)
            .stdout(output)
            .spawn()
            .unwrap();
        Self { child, ip, port }
    }

    fn signal(&self, signal: Signal) {
        let id = Pid::from_child(&self.child);
        kill_process(id, signal).unwrap();
    }

    fn url(&self, offset: u16, path: &str) -> String {
        format!("http://{}:{}{path}", self.ip, self.port + offset)
    }

    /// Waits until the process has ended.
    async fn ended(&mut self) -> Option<i32> {
        let until = Instant::now() + CONDITION;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < until, "the process goes on");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Bench {
    async fn start(daemons: usize) -> Self {
        let store = Store::start().await;
        configure(&store, 2, &["cups", "pay"]);
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            let id = format!("c{number}");
            servers.push(Server::start(&id, "cups", true, store.writer()).await);
        }
        servers.push(Server::start("p0", "pay", false, store.writer()).await);
        let mut started = Vec::new();
        for _ in 0..daemons {
            started.push(Daemon::start(&store, Stdio::null()));
        }
        Self {
            store,
            servers,
            daemons: started,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Asks a daemon; `None` if there is no whole answer.
    async fn ask(
        &self,
        daemon: usize,
        path: &str,
        id: &str,
        key: u16,
    ) -> Option<(StatusCode, String)> {
        let request = Request::get(self.daemons[daemon].url(0, path))
            .header("host", "app.example")
            .header("request-id", id)
            .header("deadline-ms", "3000")
            .header("shard-key", key.to_string())
            .body(Full::default())
            .unwrap();
        let response = timeout(CONDITION, self.client.request(request))
            .await
            .ok()?
            .ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }

    async fn is_ready(&self, daemon: usize) -> bool {
        let request = Request::get(self.daemons[daemon].url(1, "/readiness"));
        let request = request.body(Full::default()).unwrap();
        let answer = self.client.request(request).await;
        answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
    }

    /// Waits until a request for each of some keys is answered by each daemon.
    async fn serves(&self) {
        for daemon in 0..self.daemons.len() {
            for key in (0..=u16::MAX).step_by(9_973) {
                let until = Instant::now() + CONDITION;
                let mut number = 0;
                loop {
                    number += 1;
                    let id = format!("{daemon}-{key}-{number}");
                    let answer = self.ask(daemon, "/cups/1", &id, key).await;
                    if answer.is_some_and(|(status, _)| status == StatusCode::OK) {
                        break;
                    }
                    assert!(Instant::now() < until, "key {key} is not served");
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }
}

fn configure(store: &Store, version: u64, routes: &[&str]) {
    let rules = routes.iter().map(|route| {
        let kind = if *route == "pay" {
            "non_idempotent"
        } else {
            "idempotent"
        };
        rule(route, kind, if *route == "pay" { "pay" } else { "cups" })
    });
    let rules: Vec<_> = rules.collect();
    store.configure(&config(
        version,
        &rules,
        &[cluster("cups", true), cluster("pay", false)],
    ));
}

#[tokio::test(flavor = "multi_thread")]
async fn each_request_is_answered_by_the_holder_of_its_key() {
    let bench = Bench::start(2).await;
    bench.serves().await;
    assert!(bench.is_ready(0).await && bench.is_ready(1).await);
    for key in [0, 40_000, u16::MAX] {
        let holders = bench
            .servers
            .iter()
            .filter(|server| server.holds(key.into()).is_some());
        let holders: Vec<_> = holders.map(|server| server.id.clone()).collect();
        assert_eq!(holders.len(), 1, "{holders:?}");
        for daemon in 0..2 {
            let id = format!("last-{daemon}-{key}");
            let (status, body) = bench.ask(daemon, "/cups/1", &id, key).await.unwrap();
            assert_eq!(
                (status, body),
                (StatusCode::OK, format!("{} /cups/1", holders[0]))
            );
        }
    }
    let keys: usize = bench.servers.iter().map(Server::keys).sum();
    assert_eq!(keys, 65_536);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_served_after_the_leader_is_killed() {
    let mut bench = Bench::start(3).await;
    bench.serves().await;
    // The first entry names the leader; whoever it is, each is killed in turn.
    for _ in 0..2 {
        bench.daemons.remove(0);
        bench.serves().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_server_that_ends_get_another_one() {
    let mut bench = Bench::start(2).await;
    bench.serves().await;
    bench.servers[0].kill();
    bench.serves().await;
    let keys: usize = bench.servers[1..].iter().map(Server::keys).sum();
    assert!(keys > 60_000, "{keys}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_drains_gets_nothing_more() {
    let bench = Bench::start(2).await;
    bench.serves().await;
    bench.servers[0].drain();
    let until = Instant::now() + CONDITION;
    while bench.servers[0].keys() > 0 {
        assert!(Instant::now() < until, "it still holds keys");
        sleep(Duration::from_millis(50)).await;
    }
    let before = bench.servers[0].runs().len();
    bench.serves().await;
    assert_eq!(bench.servers[0].runs().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_store_is_away() {
    let bench = Bench::start(2).await;
    bench.serves().await;
    bench.store.set(store::Faults {
        refuse: Some(503),
        ..Default::default()
    });
    bench.serves().await;
    bench.store.set(store::Faults::default());
    // A change that comes right after is heard of.
    configure(&bench.store, 5, &["cups", "pay", "more"]);
    for daemon in 0..2 {
        let until = Instant::now() + CONDITION;
        while bench.ask(daemon, "/more/1", "more", 7).await.unwrap().0 != StatusCode::OK {
            assert!(Instant::now() < until, "the route is not in force");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// What a caller gets for a request that cannot be served; nothing of it runs.
#[test_case("/nowhere/1", "q", StatusCode::NOT_FOUND; "no route")]
#[test_case("/pay/1", "", StatusCode::BAD_REQUEST; "no id")]
#[tokio::test(flavor = "multi_thread")]
async fn refused(path: &str, id: &str, status: StatusCode) {
    let bench = Bench::start(1).await;
    bench.serves().await;
    let mut request = Request::get(bench.daemons[0].url(0, path)).header("host", "app.example");
    if !id.is_empty() {
        request = request.header("request-id", id);
    }
    let request = request.body(Full::default()).unwrap();
    let answer = bench.client.request(request).await.unwrap();
    assert_eq!(answer.status(), status);
    assert!(bench.servers[SERVERS].runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_configuration_nothing_is_denied() {
    let store = Store::start().await;
    let daemon = Daemon::start(&store, Stdio::null());
    let bench = Bench {
        store,
        servers: Vec::new(),
        daemons: vec![daemon],
        client: Client::builder(TokioExecutor::new()).build_http(),
    };
    let until = Instant::now() + CONDITION;
    let status = loop {
        if let Some((status, _)) = bench.ask(0, "/cups/1", "q", 1).await {
            break status;
        }
        assert!(Instant::now() < until, "the daemon takes no connection");
        sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!bench.is_ready(0).await);
}

/// A request that must not be repeated is sent once, whatever becomes of it.
#[test_case(Faults { loses_answers: true, ..Faults::default() }, StatusCode::BAD_GATEWAY, 1; "answer lost")]
#[test_case(Faults { sheds: true, ..Faults::default() }, StatusCode::SERVICE_UNAVAILABLE, 0; "no room")]
#[test_case(Faults { fails: true, ..Faults::default() }, StatusCode::INTERNAL_SERVER_ERROR, 1; "fails")]
#[tokio::test(flavor = "multi_thread")]
async fn at_most_once(faults: Faults, status: StatusCode, runs: usize) {
    let bench = Bench::start(1).await;
    bench.serves().await;
    bench.servers[SERVERS].set(faults);
    let answer = bench.ask(0, "/pay/1", "once", 1).await.unwrap();
    assert_eq!(answer.0, status);
    assert_eq!(bench.servers[SERVERS].runs().len(), runs);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_is_stopped_ends_what_is_in_flight() {
    let mut bench = Bench::start(2).await;
    bench.serves().await;
    bench.servers[SERVERS].set(Faults {
        work: Duration::from_millis(1_000),
        ..Faults::default()
    });
    let asking = bench.ask(0, "/pay/1", "slow", 1);
    let stopping = async {
        while bench.servers[SERVERS].runs().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        bench.daemons[0].signal(Signal::TERM);
    };
    let (answer, ()) = tokio::join!(asking, stopping);
    assert_eq!(answer.unwrap().0, StatusCode::OK);
    assert!(!bench.is_ready(0).await);
    assert_eq!(bench.daemons[0].ended().await, Some(0));
    bench.daemons.remove(0);
    bench.serves().await;
}

/// Settings are read again; a daemon is not ended by the signal, nor by settings that are wrong.
#[tokio::test(flavor = "multi_thread")]
async fn a_hangup_stops_nothing() {
    let bench = Bench::start(1).await;
    bench.serves().await;
    bench.daemons[0].signal(Signal::HUP);
    bench.serves().await;
}

/// Nobody reads the log: the pipe is full after some lines, and the daemon goes on.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_nobody_reads_stops_nothing() {
    let mut bench = Bench::start(1).await;
    bench.serves().await;
    let daemon = Daemon::start(&bench.store, Stdio::piped());
    bench.daemons = vec![daemon];
    bench.serves().await;
    // Each of these is a line of some 300 bytes; a pipe holds 64 KiB.
    for number in 0..1_000 {
        let id = format!("none-{number}");
        let answer = bench.ask(0, "/nowhere/1", &id, 1).await.unwrap();
        assert_eq!(answer.0, StatusCode::NOT_FOUND);
    }
    bench.serves().await;
}

#[test]
fn settings_that_make_no_sense_are_named() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("gateway-bad.conf");
    let text = settings("front-1", "127.0.0.1", 7_000, ([127, 0, 0, 1], 9).into());
    fs::write(&file, text.replacen("grace=6s", "grace=soon", 1)).unwrap();
    let check = |file: &PathBuf| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_copperwelld"));
        command.args(["gateway", "--check", "--settings"]).arg(file);
        command.output().unwrap()
    };
    let output = check(&file);
    assert_eq!(output.status.code(), Some(2));
    let said = String::from_utf8(output.stderr).unwrap();
    assert!(said.contains("`grace=soon` makes no sense"), "{said}");
    assert!(said.contains("gateway-bad.conf"), "{said}");
    fs::write(&file, text).unwrap();
    assert_eq!(check(&file).status.code(), Some(0));
}

//! A store, servers and daemons.

use std::{
    fs,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use crate::standin::{caller, cluster, config, rule, server::Server, settings, store::Store};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::time::{Instant, sleep, timeout};

/// How long a condition may take to come true; far more than it needs.
pub(crate) const CONDITION: Duration = Duration::from_secs(60);

pub(crate) const SERVERS: usize = 3;

/// The first port of each daemon.
const PORT: u16 = 7_000;

/// How far from it the port for metrics lies.
const METRICS: u16 = 20;

static DAEMONS: AtomicU16 = AtomicU16::new(0);

/// A client that keeps connections.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A daemon's process.
pub(crate) struct Daemon {
    pub(crate) child: Child,
    pub(crate) ip: String,
    pub(crate) port: u16,
    pub(crate) file: PathBuf,
}

pub(crate) struct Bench {
    pub(crate) store: Store,
    pub(crate) servers: Vec<Server>,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) client: HttpClient,
}

impl Daemon {
    pub(crate) fn start(store: &Store, output: Stdio) -> Self {
        Self::start_with(store, output, |settings| settings)
    }

    /// Starts a daemon whose settings are changed.
    pub(crate) fn start_with(
        store: &Store,
        output: Stdio,
        change: impl FnOnce(String) -> String,
    ) -> Self {
        let number = DAEMONS.fetch_add(1, Ordering::Relaxed);
        // An address of its own, so that no two daemons want the same port.
        let process = std::process::id();
        let (high, low) = ((process >> 8) % 64, process % 256);
        let ip = format!("127.{}.{low}.{}", 64 + high, number + 1);
        let port = PORT;
        let name = format!("front-{number}");
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.conf"));
        let text = change(settings(&name, &ip, port, store.address));
        fs::write(&file, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_copperwelld"))
            .arg("gateway")
            .arg("--settings")
            .arg(&file)
            .arg("--metrics-port")
            .arg((port + METRICS).to_string())
            .stdout(output)
            .spawn()
            .unwrap();
        Self {
            child,
            ip,
            port,
            file,
        }
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let id = Pid::from_child(&self.child);
        kill_process(id, signal).unwrap();
    }

    pub(crate) fn url(&self, offset: u16, path: &str) -> String {
        format!("http://{}:{}{path}", self.ip, self.port + offset)
    }

    pub(crate) fn name(&self) -> String {
        self.file
            .file_stem()
            .unwrap()
            .to_string_lossy()
            .into_owned()
    }

    /// Writes settings as they come at the start, but for the first `old`, which becomes `new`.
    pub(crate) fn change(&self, store: &Store, old: &str, new: &str) {
        let text = settings(&self.name(), &self.ip, self.port, store.address);
        assert!(text.contains(old), "{old}");
        fs::write(&self.file, text.replacen(old, new, 1)).unwrap();
    }

    /// What its status page says of a field.
    pub(crate) async fn status(&self, client: &HttpClient, field: &str) -> Option<Value> {
        let body = self.page(client, 1, "/status").await?;
        let status: Value = serde_json::from_slice(&body).ok()?;
        status.get(field).cloned()
    }

    /// Its metrics, by the port that is for them.
    pub(crate) async fn metrics(&self, client: &HttpClient) -> Option<String> {
        let body = self.page(client, METRICS, "/metrics").await?;
        Some(String::from_utf8_lossy(&body).into_owned())
    }

    async fn page(&self, client: &HttpClient, offset: u16, path: &str) -> Option<Bytes> {
        let request = Request::get(self.url(offset, path));
        let answer = client.request(request.body(Full::default()).unwrap()).await;
        Some(answer.ok()?.into_body().collect().await.ok()?.to_bytes())
    }

    /// Waits until the process has ended.
    pub(crate) async fn ended(&mut self) -> Option<i32> {
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
    pub(crate) async fn start(daemons: usize) -> Self {
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
    pub(crate) async fn ask(
        &self,
        daemon: usize,
        path: &str,
        id: &str,
        key: u16,
    ) -> Option<(StatusCode, String)> {
        let request = Request::get(self.daemons[daemon].url(0, path)).header("host", "app.example");
        let request = caller::asking(request, id, key)
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

    pub(crate) async fn is_ready(&self, daemon: usize) -> bool {
        let request = Request::get(self.daemons[daemon].url(1, caller::READY_PATH));
        let request = request.body(Full::default()).unwrap();
        let answer = self.client.request(request).await;
        answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
    }

    /// Waits until a request for each of some keys is answered by each daemon.
    pub(crate) async fn serves(&self) {
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

pub(crate) fn configure(store: &Store, version: u64, routes: &[&str]) {
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

//! A test cluster of a store, servers and daemons.

use std::{
    ffi::OsString,
    fs,
    net::IpAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, AtomicUsize, Ordering},
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

/// The timeout for a condition, which is far longer than needed.
pub(crate) const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

pub(crate) const SERVERS: usize = 3;

/// The first port of each daemon.
const FIRST_PORT: u16 = 7_000;

/// The offset of the metrics port from the first port.
const METRICS_PORT_OFFSET: u16 = 20;

/// The addresses that share their first three numbers.
const HOSTS: u16 = 254;

static DAEMON_COUNT: AtomicU16 = AtomicU16::new(0);

/// The number of processes that were started.
static SPAWNED: AtomicUsize = AtomicUsize::new(0);

/// An HTTP client with a connection pool.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A daemon's process.
pub(crate) struct Daemon {
    pub(crate) child: Child,
    pub(crate) ip: String,
    pub(crate) port: u16,
    pub(crate) file: PathBuf,
}

pub(crate) struct Harness {
    pub(crate) store: Store,
    pub(crate) servers: Vec<Server>,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) client: HttpClient,
}

impl Daemon {
    pub(crate) fn start(store: &Store, output: Stdio) -> Self {
        Self::start_with(store, output, |settings| settings)
    }

    /// Starts a daemon with changed settings.
    pub(crate) fn start_with(
        store: &Store,
        output: Stdio,
        change: impl FnOnce(String) -> String,
    ) -> Self {
        let number = DAEMON_COUNT.fetch_add(1, Ordering::Relaxed);
        // Each daemon has its own address, so that ports do not collide.
        let process = std::process::id();
        let (high, low) = ((process >> 8) as u16 % 64, process % 256);
        let (block, host) = (number / HOSTS, number % HOSTS + 1);
        let ip = format!("127.{}.{low}.{host}", 64 * (1 + block) + high);
        let port = FIRST_PORT;
        let name = format!("front-{number}");
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(process.to_string());
        fs::create_dir_all(&directory).unwrap();
        let file = directory.join(format!("{name}.conf"));
        let text = change(settings(&name, &ip, port, store.address));
        fs::write(&file, text).unwrap();
        Self {
            child: spawn(&file, port, output),
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

    /// Writes the initial settings with the first `old` replaced by `new`.
    pub(crate) fn change(&self, store: &Store, old: &str, new: &str) {
        let text = settings(&self.name(), &self.ip, self.port, store.address);
        assert!(text.contains(old), "{old}");
        fs::write(&self.file, text.replacen(old, new, 1)).unwrap();
    }

    /// Returns a field of the status page.
    pub(crate) async fn status(&self, client: &HttpClient, field: &str) -> Option<Value> {
        let body = self.fetch(client, 1, "/status").await?;
        let status: Value = serde_json::from_slice(&body).ok()?;
        status.get(field).cloned()
    }

    /// Returns the metrics from the metrics port.
    pub(crate) async fn metrics(&self, client: &HttpClient) -> Option<String> {
        let body = self.fetch(client, METRICS_PORT_OFFSET, "/metrics").await?;
        Some(String::from_utf8_lossy(&body).into_owned())
    }

    async fn fetch(&self, client: &HttpClient, offset: u16, path: &str) -> Option<Bytes> {
        let request = Request::get(self.url(offset, path));
        let response = client.request(request.body(Full::default()).unwrap()).await;
        Some(response.ok()?.into_body().collect().await.ok()?.to_bytes())
    }

    /// Waits until the process has exited, and returns its exit code.
    pub(crate) async fn wait_exited(&mut self) -> Option<i32> {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < deadline, "the process does not exit");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Returns the program of the next daemon.
///
/// `COPPERWELL_OTHER_DAEMON` names the program of another release, which every second process runs, so that daemons
/// are upgraded and rolled back as they are restarted.
fn program() -> OsString {
    let number = SPAWNED.fetch_add(1, Ordering::Relaxed);
    let other = std::env::var_os("COPPERWELL_OTHER_DAEMON").filter(|_| number % 2 == 1);
    other.unwrap_or_else(|| env!("CARGO_BIN_EXE_copperwelld").into())
}

/// Starts the process of a daemon with its settings file.
pub(crate) fn spawn(file: &Path, port: u16, output: Stdio) -> Child {
    Command::new(program())
        .arg("gateway")
        .arg("--settings")
        .arg(file)
        .arg("--metrics-port")
        .arg((port + METRICS_PORT_OFFSET).to_string())
        .stdout(output)
        .spawn()
        .unwrap()
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a client whose connections come from `address`.
pub(crate) fn client_at(address: IpAddr) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_local_address(Some(address));
    Client::builder(TokioExecutor::new()).build(connector)
}

impl Harness {
    pub(crate) async fn start(daemons: usize) -> Self {
        Self::start_in(&vec!["here"; daemons], |_| Stdio::null()).await
    }

    /// Starts a daemon in each of these data centres; `output` says where the output of each goes.
    pub(crate) async fn start_in(zones: &[&str], output: impl Fn(usize) -> Stdio) -> Self {
        Self::start_with_servers(zones, SERVERS, 1, output).await
    }

    /// Like [`Self::start_in`], with this many servers of the service with keys and of the one without.
    pub(crate) async fn start_with_servers(
        zones: &[&str],
        keyed: usize,
        unkeyed: usize,
        output: impl Fn(usize) -> Stdio,
    ) -> Self {
        let store = Store::start().await;
        configure(&store, 2, &["cups", "pay"]);
        let mut servers = Vec::new();
        for number in 0..keyed {
            let id = format!("c{number}");
            servers.push(Server::start(&id, "cups", true, store.writer()).await);
        }
        for number in 0..unkeyed {
            let id = format!("p{number}");
            servers.push(Server::start(&id, "pay", false, store.writer()).await);
        }
        let mut started = Vec::new();
        for (number, zone) in zones.iter().enumerate() {
            let in_zone = |settings: String| settings.replace("zone=here", &format!("zone={zone}"));
            started.push(Daemon::start_with(&store, output(number), in_zone));
        }
        Self {
            store,
            servers,
            daemons: started,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a request to a daemon; returns `None` if there is no complete response.
    pub(crate) async fn send(
        &self,
        daemon: usize,
        path: &str,
        id: &str,
        key: u16,
    ) -> Option<(StatusCode, String)> {
        self.send_with(&self.client, daemon, path, id, key).await
    }

    /// Sends a request through a client of its own, as [`Self::send`] does.
    pub(crate) async fn send_with(
        &self,
        client: &HttpClient,
        daemon: usize,
        path: &str,
        id: &str,
        key: u16,
    ) -> Option<(StatusCode, String)> {
        let request = Request::get(self.daemons[daemon].url(0, path)).header("host", "app.example");
        let request = caller::asking(request, id, key)
            .body(Full::default())
            .unwrap();
        let response = timeout(CONDITION_TIMEOUT, client.request(request))
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
        let response = self.client.request(request).await;
        response.is_ok_and(|response| response.status() == StatusCode::OK)
    }

    /// Waits until every daemon serves a sample of keys.
    pub(crate) async fn wait_served(&self) {
        for daemon in 0..self.daemons.len() {
            for key in (0..=u16::MAX).step_by(9_973) {
                let deadline = Instant::now() + CONDITION_TIMEOUT;
                let mut number = 0;
                loop {
                    number += 1;
                    let id = format!("{daemon}-{key}-{number}");
                    let response = self.send(daemon, "/cups/1", &id, key).await;
                    if response.is_some_and(|(status, _)| status == StatusCode::OK) {
                        break;
                    }
                    assert!(Instant::now() < deadline, "key {key} is not served");
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

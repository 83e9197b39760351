//! The daemon on the users' platform: requests go straight to upstreams that register themselves.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    admin::{self, Inspect},
    daemon::Error,
    reload::Reload,
};
use copperwell_assignment::{
    clock::{Boot, Clock},
    driver::{self, Driver, Identity},
    exchange::Server,
    machine,
    metrics::Metrics as AssignmentMetrics,
};
use copperwell_caller::server;
use copperwell_gateway::{Gateway, View, metrics::Metrics, watch};
use copperwell_platform::{
    Entries, Orders, Published, Settings, Store, Wire, settings::READY_PATH,
};
use copperwell_routing::Key;
use error_stack::{Report, ResultExt};
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use serde::Serialize;
use spdlog::info;
use tokio::{
    net::TcpListener,
    task::JoinHandle,
    time::{Instant, sleep, sleep_until, timeout_at},
};
use tokio_util::sync::CancellationToken;

/// The share of its descriptors that a daemon uses for callers' connections.
const CALLERS_SHARE: f64 = 0.6;

/// How long a daemon that stops goes on taking connections: until nobody is sent to it any more.
const ROTATION_TIME: Duration = Duration::from_millis(2_500);

/// How often the connections and records of upstreams that are gone are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(2);

/// How long before the platform ends it a daemon that stops has ended by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// How long before that it answers what cannot end in time.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// A running daemon.
pub struct Daemon {
    gateway: Arc<Gateway<Wire>>,
    watcher: Arc<Watcher>,
    reload: Arc<Reload>,
    /// Ends leadership.
    leading: CancellationToken,
    /// Ends the taking of connections.
    serving: CancellationToken,
    callers: JoinHandle<()>,
    driver: JoinHandle<()>,
}

/// What the admin endpoint tells.
struct Watcher {
    view: Arc<View>,
    is_stopping: AtomicBool,
    dropped: Arc<AtomicU64>,
    dropped_shown: Counter,
    metrics: Metrics,
}

/// The status page.
#[derive(Debug, Serialize)]
struct Status {
    ready: bool,
    configuration: Option<u64>,
    upstreams: usize,
    daemons: u32,
    term: u64,
    table: u64,
}

/// Who serves a key.
#[derive(Debug, Serialize)]
struct Explanation {
    service: String,
    key: Key,
    holder: Option<String>,
    term: u64,
    table: u64,
}

impl Daemon {
    /// Starts a daemon; it is ready once it has read configuration and upstreams.
    ///
    /// `metrics_port` is one more port at which operators' tools are served; `dropped` counts log lines
    /// that were not written.
    ///
    /// # Errors
    ///
    /// [`Error`] if an address cannot be listened on.
    pub async fn start(
        settings: &Settings,
        metrics_port: Option<u16>,
        dropped: Arc<AtomicU64>,
    ) -> Result<Self, Report<Error>> {
        let callers = listen(settings.callers).await?;
        let mut tools = vec![
            listen(settings.ready).await?,
            listen(settings.control).await?,
        ];
        if let Some(port) = metrics_port {
            tools.push(listen(SocketAddr::new(settings.callers.ip(), port)).await?);
        }
        let exchange_port = *settings.internal_ports.start();
        let address = SocketAddr::new(settings.callers.ip(), exchange_port);
        let exchange = listen(address).await?;

        let mut registry = Registry::with_prefix("copperwell");
        let metrics = Metrics::new(&mut registry);
        let lines: Counter = Counter::default();
        registry.register("log_dropped", "Log lines that did not fit", lines.clone());
        let store = Arc::new(Store::new(settings.store));
        let zone = settings.zone.clone();
        let run = run_number();
        let view = Arc::new(View::new(run, zone, settings.allowance));
        let connections = (settings.descriptors as f64 * CALLERS_SHARE) as usize;
        let gateway = Gateway::new(Wire, view.clone(), metrics.clone(), connections.max(1));
        gateway.connection_metrics().register(&mut registry);
        let gateway = Arc::new(gateway);

        let reload = Reload::new(settings.clone(), view.clone(), store.clone());

        let source = Arc::new(Published::new(store.clone()));
        tokio::spawn(watch::configurations(
            source.clone(),
            view.clone(),
            metrics.clone(),
        ));
        tokio::spawn(watch::upstreams(
            source,
            view.clone(),
            Boot,
            metrics.clone(),
        ));
        let cleaned = gateway.clone();
        tokio::spawn(async move {
            loop {
                sleep(CLEANUP_INTERVAL).await;
                cleaned.remove_stale();
            }
        });

        let leading = CancellationToken::new();
        let (exchange_server, reports) = Server::new(&view.keys);
        tokio::spawn(exchange_server.clone().serve(exchange));
        let driver = Driver {
            identity: Identity {
                name: settings.name.as_str().into(),
                run,
                address,
                strength: settings.strength,
                is_first_start: settings.is_first_start,
            },
            timing: timing(settings),
            register: Arc::new(Entries::new(store)),
            sender: Arc::new(Orders::default()),
            clock: Boot,
            environment: view.clone(),
            shared: view.keys.clone(),
            server: exchange_server,
            metrics: AssignmentMetrics::new(&mut registry),
        };
        let driver = tokio::spawn(driver.run(reports, leading.clone()));

        let serving = CancellationToken::new();
        let watcher = Arc::new(Watcher {
            view,
            is_stopping: AtomicBool::new(false),
            dropped,
            dropped_shown: lines,
            metrics,
        });
        let registry = Arc::new(registry);
        for listener in tools {
            let never = CancellationToken::new();
            let serve = admin::serve(listener, watcher.clone(), registry.clone(), never);
            tokio::spawn(serve);
        }
        let serve = server::serve_with(callers, gateway.clone(), serving.clone());
        let callers = tokio::spawn(async move {
            // It ends with its listening socket.
            let _ = serve.await;
        });
        info!("started", kv: { event = "start", name = settings.name.as_str(), zone = &*settings.zone, version = env!("CARGO_PKG_VERSION") });
        Ok(Self {
            gateway,
            watcher,
            reload: Arc::new(reload),
            leading,
            serving,
            callers,
            driver,
        })
    }

    /// Takes changes of the settings file at `path` from here on.
    pub fn follow(&self, path: PathBuf) {
        tokio::spawn(self.reload.clone().run(path));
    }

    /// Hands leadership over, lets callers go elsewhere, and ends what is in flight.
    pub async fn stop(mut self) {
        let began = Instant::now();
        info!("stopping", kv: { event = "stop" });
        self.watcher.is_stopping.store(true, Ordering::Release);
        self.gateway.close_connections();
        self.leading.cancel();
        let end = began + self.reload.grace().saturating_sub(GRACE_MARGIN);
        sleep_until(end.min(began + ROTATION_TIME)).await;
        self.serving.cancel();
        let cancel_at = end.checked_sub(ANSWER_TIME).unwrap_or(end);
        let mut ended = timeout_at(cancel_at, &mut self.callers).await;
        if ended.is_err() {
            self.gateway.cancel_requests();
            ended = timeout_at(end, &mut self.callers).await;
        }
        let _ = timeout_at(end, &mut self.driver).await;
        info!("stopped", kv: { event = "stopped", whole = ended.is_ok() });
        // The last line is on its way.
        sleep(Duration::from_millis(1)).await;
    }
}

impl Inspect for Watcher {
    fn is_ready(&self) -> bool {
        self.view.is_complete() && !self.is_stopping.load(Ordering::Acquire)
    }

    fn ready_path(&self) -> &str {
        READY_PATH
    }

    async fn status(&self) -> Vec<u8> {
        let version = self.view.keys.routing_tables.tables().version;
        let configuration = self.view.configuration();
        let status = Status {
            ready: self.is_ready(),
            configuration: configuration.map(|known| known.version),
            upstreams: self.view.registry().len(),
            daemons: self.view.keys.daemons.load(Ordering::Relaxed),
            term: version.term,
            table: version.number,
        };
        serde_json::to_vec(&status).unwrap_or_default()
    }

    fn explain(&self, service: &str, key: &str) -> Option<Vec<u8>> {
        let configuration = self.view.configuration()?;
        configuration.service(service)?;
        let key = key.parse().ok()?;
        let routing_tables = &self.view.keys.routing_tables;
        let version = routing_tables.tables().version;
        let explanation = Explanation {
            service: service.to_owned(),
            key,
            holder: routing_tables
                .served(service, key)
                .map(|served| served.upstream.to_string()),
            term: version.term,
            table: version.number,
        };
        serde_json::to_vec(&explanation).ok()
    }

    fn refresh(&self) {
        let dropped = self.dropped.load(Ordering::Relaxed);
        self.metrics.update_gauges(&self.view);
        let shown = self.dropped_shown.get();
        self.dropped_shown.inc_by(dropped.saturating_sub(shown));
    }
}

fn timing(settings: &Settings) -> driver::Timing {
    let usual = machine::Timing::default();
    driver::Timing {
        grants: machine::Timing {
            grant_duration: usual.grant_duration.min(settings.hold_max),
            grant_duration_max: usual.grant_duration_max.min(settings.hold_max),
            ..usual
        },
        ..driver::Timing::default()
    }
}

/// A number that differs from that of earlier runs.
fn run_number() -> u64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let wall = wall.unwrap_or_default().as_nanos();
    let boot = Boot.now().as_nanos();
    // The time of day may jump back; the time since the machine was started does not.
    u64::try_from((wall ^ (boot << 1)) & u128::from(u64::MAX)).unwrap_or(0)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Report<Error>> {
    TcpListener::bind(address)
        .await
        .change_context(Error)
        .attach_with(|| format!("listening on {address}"))
}

//! The daemon on the users' platform, which forwards requests directly to self-registered
//! upstreams.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
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
use copperwell_gateway::{Evacuation, Gateway, View, metrics::Metrics, watch};
use copperwell_memory::Budget;
use copperwell_peer::link;
use copperwell_platform::{
    Entries, Orders, Published, Settings, Store, Wire, settings::READY_PATH,
};
use copperwell_routing::Key;
use error_stack::{Report, ResultExt};
use futures::future::join;
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use serde::Serialize;
use spdlog::info;
use tokio::{
    net::TcpListener,
    runtime,
    task::JoinHandle,
    time::{Instant, sleep, sleep_until, timeout_at},
};
use tokio_util::sync::CancellationToken;

/// The fraction of the file descriptors that callers' connections may use.
const CALLERS_SHARE: f64 = 0.6;

/// The part of the memory that the connections of callers may take.
const CONNECTIONS_MEMORY_DIVISOR: usize = 2;

/// The memory of a caller's connection and of the one to an upstream on which its request is: what is read ahead from
/// either, a head, and the tasks.
const CONNECTION_BYTES: usize = 64 << 10;

/// How long a stopping daemon keeps accepting connections, so that the platform can take it out of
/// rotation.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// The interval between removals of the state of unregistered upstreams.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(2);

/// How long before the platform kills it a stopping daemon must have exited.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// How long before its exit a stopping daemon cancels and answers the remaining requests.
const CANCEL_MARGIN: Duration = Duration::from_millis(300);

/// A running daemon.
pub struct Daemon {
    gateway: Arc<Gateway<Wire>>,
    inspector: Arc<Inspector>,
    reload: Arc<Reload>,
    /// Ends leadership when cancelled.
    leading: CancellationToken,
    /// Ends the accepting of connections when cancelled.
    serving: CancellationToken,
    callers: JoinHandle<()>,
    /// Serves requests of other daemons.
    helper: JoinHandle<()>,
    driver: JoinHandle<()>,
}

/// The state that the admin endpoint exposes.
struct Inspector {
    view: Arc<View>,
    is_stopping: AtomicBool,
    dropped: Arc<AtomicU64>,
    dropped_counter: Counter,
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
    /// The evacuated data centres.
    evacuations: Vec<EvacuationStatus>,
}

/// What is still in an evacuated data centre.
#[derive(Debug, Serialize)]
struct EvacuationStatus {
    zone: String,
    upstreams: usize,
    /// This daemon's requests in flight there.
    requests: u32,
    /// The ranges of keys that are held there.
    key_ranges: usize,
}

/// The routing of a key.
#[derive(Debug, Serialize)]
struct Explanation {
    service: String,
    key: Key,
    holder: Option<String>,
    term: u64,
    table: u64,
}

impl Daemon {
    /// Starts a daemon, which is ready once it has read the configuration and the upstreams.
    ///
    /// The admin endpoint also listens on `metrics_port`, if given; `dropped` counts the log lines
    /// that were not written.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the daemon cannot listen on an address.
    pub async fn start(
        settings: &Settings,
        metrics_port: Option<u16>,
        dropped: Arc<AtomicU64>,
    ) -> Result<Self, Report<Error>> {
        let callers = listen(settings.callers).await?;
        let mut admin_listeners = vec![
            listen(settings.ready).await?,
            listen(settings.control).await?,
        ];
        if let Some(port) = metrics_port {
            admin_listeners.push(listen(SocketAddr::new(settings.callers.ip(), port)).await?);
        }
        let peer_port = *settings.internal_ports.start();
        let address = SocketAddr::new(settings.callers.ip(), peer_port);
        let peer_listener = listen(address).await?;
        let helper_address = SocketAddr::new(settings.callers.ip(), peer_port + 1);
        let helper_listener = listen(helper_address).await?;

        let mut registry = Registry::with_prefix("copperwell");
        let metrics = Metrics::new(&mut registry);
        let log_dropped: Counter = Counter::default();
        registry.register(
            "log_dropped",
            "Log lines that did not fit",
            log_dropped.clone(),
        );
        let store = Arc::new(Store::new(settings.store));
        let zone = settings.zone.clone();
        let run = run_number();
        let view = View::new(run, zone, settings.allowance)
            .with_name(settings.name.as_str())
            .with_drain(settings.drain);
        view.set_regions(settings.regions.clone());
        let view = Arc::new(view);
        view.set_warmup_allowance(settings.warmup);
        let connections_max = connections_max(settings.descriptors, settings.memory_bytes);
        let budget = Budget::of_process(settings.memory_bytes);
        budget.register(&mut registry);
        view.crash_tracker.register(&mut registry);
        view.keys.limits.register(&mut registry);
        view.keys.warmups.register(&mut registry);
        view.warmups.register(&mut registry);
        view.paths.register(&mut registry);
        let gateway = Gateway::new(
            Wire,
            view.clone(),
            metrics.clone(),
            connections_max,
            budget.clone(),
        );
        gateway.connection_metrics().register(&mut registry);
        gateway.register_relay(&mut registry);
        let gateway = Arc::new(gateway);

        let reload = Reload::new(settings.clone(), view.clone(), store.clone());

        let source = Arc::new(Published::new(store.clone()));
        tokio::spawn(watch::configurations(source, view.clone(), metrics.clone()));
        spawn_list_reader(&store, &view, &metrics)?;
        tokio::spawn(watch::paths(view.clone()));
        tokio::spawn(gateway.clone().check_returned());
        let cleaned_gateway = gateway.clone();
        tokio::spawn(async move {
            loop {
                sleep(CLEANUP_INTERVAL).await;
                cleaned_gateway.remove_stale();
            }
        });

        let leading = CancellationToken::new();
        let (exchange_server, reports) = Server::new(&view.keys);
        tokio::spawn(exchange_server.clone().serve(peer_listener));
        let driver = Driver {
            identity: Identity {
                name: settings.name.as_str().into(),
                run,
                address,
                helper_address,
                zone: settings.zone.clone(),
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
        let inspector = Arc::new(Inspector {
            view,
            is_stopping: AtomicBool::new(false),
            dropped,
            dropped_counter: log_dropped,
            metrics,
        });
        let registry = Arc::new(registry);
        for listener in admin_listeners {
            let never = CancellationToken::new();
            let serve = admin::serve(listener, inspector.clone(), registry.clone(), never);
            tokio::spawn(serve);
        }
        let helper = tokio::spawn(link::serve_within(
            helper_listener,
            gateway.clone(),
            budget,
            serving.clone(),
        ));
        let serve = server::serve_with(callers, gateway.clone(), serving.clone());
        let callers = tokio::spawn(async move {
            // The server fails only if its listening socket fails.
            let _ = serve.await;
        });
        info!("started", kv: { event = "start", name = settings.name.as_str(), zone = &*settings.zone, version = env!("CARGO_PKG_VERSION") });
        Ok(Self {
            gateway,
            inspector,
            reload: Arc::new(reload),
            leading,
            serving,
            callers,
            helper,
            driver,
        })
    }

    /// Watches the settings file at `path` and applies its changes from now on.
    pub fn watch_settings(&self, path: PathBuf) {
        tokio::spawn(self.reload.clone().run(path));
    }

    /// Hands over leadership, lets callers reconnect elsewhere, and completes or cancels in-flight
    /// requests.
    pub async fn stop(mut self) {
        let started_at = Instant::now();
        info!("stopping", kv: { event = "stop" });
        self.inspector.is_stopping.store(true, Ordering::Release);
        let exit_at = started_at + self.reload.grace().saturating_sub(EXIT_MARGIN);
        let cancel_at = exit_at.checked_sub(CANCEL_MARGIN).unwrap_or(exit_at);
        self.gateway.close_connections(cancel_at);
        self.leading.cancel();
        sleep_until(cancel_at.min(started_at + DRAIN_TIME)).await;
        self.serving.cancel();
        let mut requests = join(&mut self.callers, &mut self.helper);
        let mut completed = timeout_at(cancel_at, &mut requests).await;
        if completed.is_err() {
            self.gateway.cancel_requests();
            completed = timeout_at(exit_at, &mut requests).await;
        }
        let _ = timeout_at(exit_at, &mut self.driver).await;
        info!("stopped", kv: { event = "stopped", whole = completed.is_ok() });
    }
}

impl Inspect for Inspector {
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
            configuration: configuration.map(|current| current.version),
            upstreams: self.view.registry().len(),
            daemons: self.view.keys.daemons.load(Ordering::Relaxed),
            term: version.term,
            table: version.number,
            evacuations: self.view.evacuations().into_iter().map(status_of).collect(),
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
                .map(|assignment| assignment.upstream.to_string()),
            term: version.term,
            table: version.number,
        };
        serde_json::to_vec(&explanation).ok()
    }

    fn refresh(&self) {
        let dropped = self.dropped.load(Ordering::Relaxed);
        self.metrics.update_gauges(&self.view);
        let exported = self.dropped_counter.get();
        self.dropped_counter
            .inc_by(dropped.saturating_sub(exported));
    }
}

fn status_of(evacuation: Evacuation) -> EvacuationStatus {
    EvacuationStatus {
        zone: evacuation.zone.to_string(),
        upstreams: evacuation.upstreams,
        requests: evacuation.in_flight,
        key_ranges: evacuation.key_ranges,
    }
}

/// Reads the list of upstreams on a thread of its own: a read has many steps, and each would wait behind all that
/// requests and other daemons ask of this one.
fn spawn_list_reader(
    store: &Store,
    view: &Arc<View>,
    metrics: &Metrics,
) -> Result<(), Report<Error>> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(Error)
        .attach("cannot start a runtime to read the list of upstreams")?;
    let source = Arc::new(Published::new(Arc::new(store.with_own_connections())));
    let (view, metrics) = (view.clone(), metrics.clone());
    let read = move || runtime.block_on(watch::upstreams(source, view, Boot, metrics));
    thread::Builder::new()
        .name("upstreams".to_owned())
        .spawn(read)
        .change_context(Error)
        .attach("cannot start a thread to read the list of upstreams")?;
    Ok(())
}

fn timing(settings: &Settings) -> driver::Timing {
    let default = machine::Timing::default();
    driver::Timing {
        grants: machine::Timing {
            grant_duration: default.grant_duration.min(settings.hold_max),
            grant_duration_max: default.grant_duration_max.min(settings.hold_max),
            ..default
        },
        ..driver::Timing::default()
    }
}

/// Returns how many connections of callers are open at most: no more than descriptors allow, nor than the memory at which
/// the process is killed has room for.
fn connections_max(descriptors: usize, memory_bytes: Option<usize>) -> usize {
    let by_memory = memory_bytes.map_or(usize::MAX, |bytes| {
        bytes / CONNECTIONS_MEMORY_DIVISOR / CONNECTION_BYTES
    });
    let by_descriptors = (descriptors as f64 * CALLERS_SHARE) as usize;
    by_descriptors.min(by_memory).max(1)
}

/// Returns a number that differs from those of earlier runs.
fn run_number() -> u64 {
    let wall_clock = SystemTime::now().duration_since(UNIX_EPOCH);
    let wall_clock = wall_clock.unwrap_or_default().as_nanos();
    let boot_clock = Boot.now().as_nanos();
    // The wall clock may jump back; the boot clock does not.
    u64::try_from((wall_clock ^ (boot_clock << 1)) & u128::from(u64::MAX)).unwrap_or(0)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Report<Error>> {
    TcpListener::bind(address)
        .await
        .change_context(Error)
        .attach_with(|| {
            format!("cannot listen on {address}; free the address or configure another one")
        })
}

//! Starts a daemon and stops it again.

use std::{
    fmt, io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    admin, appointer, confirm,
    core::Core,
    metrics::Metrics,
    network::Way,
    relay::Peers,
    settings::{Advertise, ReadLog, Settings},
    stop, watch,
};
use copperwell_backend::{client::Client as Servers, pool::Pool};
use copperwell_caller::{Ingress, metrics, server};
use copperwell_dispatch::{Engine, table::Table};
use copperwell_keyspace::{Incarnation, Member};
use copperwell_ownership::Groups;
use copperwell_peer::{
    control::{self, Client},
    dial::Dial,
    link::{self, Links},
    members::{Guard, Members},
};
use copperwell_platform::{
    append::Appender,
    follow::{self, Follower, Source},
    http, metrics as platform_metrics,
};
use error_stack::{Report, ResultExt};
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use spdlog::info;
use tokio::{net::TcpListener, sync::mpsc, task::JoinHandle, time::timeout};
use tokio_util::sync::CancellationToken;

/// Events of groups that may wait to be handled.
const EVENTS: usize = 1024;

/// Moves that may wait to be appended.
const MOVES: usize = 1024;

/// A running daemon.
pub struct Daemon {
    core: Arc<Core<Servers, Pool>>,
    listening: Listening,
    client: Client,
    stop_time: Duration,
    /// Stops ingress and request streams, which finish what is in flight.
    serving: CancellationToken,
    /// Stops everything else.
    running: CancellationToken,
    servers: Vec<JoinHandle<()>>,
    _follower: Follower,
}

/// Where a daemon listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listening {
    /// For callers.
    pub callers: SocketAddr,
    /// For request streams.
    pub requests: SocketAddr,
    /// For control calls.
    pub control: SocketAddr,
    /// For metrics, health and status.
    pub admin: SocketAddr,
}

/// A daemon that cannot start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the daemon cannot start")
    }
}

impl std::error::Error for Error {}

/// The daemon's listening sockets.
struct Listeners {
    callers: TcpListener,
    requests: TcpListener,
    control: TcpListener,
    admin: TcpListener,
}

impl Daemon {
    /// Starts a daemon; it serves once it has read the log or heard from a peer.
    ///
    /// # Errors
    ///
    /// [`Error`] if an address cannot be listened on.
    pub async fn start(settings: Settings) -> Result<Self, Report<Error>> {
        let listeners = Listeners::bind(&settings).await?;
        let me = listeners.member(&settings).change_context(Error)?;
        let listening = listeners.listening().change_context(Error)?;
        let mut registry = Registry::with_prefix("copperwell");

        let dial = dial(&settings);
        let client = Client::with_dial(dial);
        client.register(&mut registry);
        let links = Links::with_dial(dial);
        links.register(&mut registry);
        let members = Members::new(me.clone(), settings.seeds.clone(), client.clone());
        let bytes = Counter::default();
        registry.register(
            "platform_bytes",
            "Bytes sent to and received from the platform",
            bytes.clone(),
        );
        let log = Arc::new(http::Client::new(settings.platform.log).with_bytes(bytes.clone()));
        let vms = Arc::new(http::Client::new(settings.platform.vms).with_bytes(bytes.clone()));
        let relay = Arc::new(Peers::new(members.clone(), client.clone()));
        let source = match settings.platform.read_log {
            ReadLog::Directly => Source::Platform,
            ReadLog::ThroughPeers => Source::Peer,
        };
        let reading = follow::Settings::new(source).with_writer(me.name.clone());
        let log_metrics = platform_metrics::Metrics::new(&mut registry);
        let follower = Follower::start_with(log.clone(), relay, reading, log_metrics.clone());

        let table = Arc::new(Table::new());
        let pool = Arc::new(Pool::new());
        pool.metrics().register(&mut registry);
        let (engine, observations) = Engine::new(pool.clone(), table.clone());
        engine.register(&mut registry);
        let engine = Arc::new(engine);
        let way = Arc::new(Way::new(
            me.clone(),
            engine.clone(),
            links.clone(),
            members.roster(),
        ));
        let (events_to, events) = mpsc::channel(EVENTS);
        let (records_to, records) = mpsc::channel(MOVES);
        let servers = Arc::new(Servers::new());
        servers.register(&mut registry);
        let groups = Groups::new(me.clone(), servers, table.clone(), events_to, &mut registry);
        let metrics = Metrics::new(&mut registry);
        let ingress_metrics = metrics::Metrics::new(&mut registry);

        let core = Arc::new(Core {
            me: me.clone(),
            held: follower.held(),
            view: follower.view(),
            members: members.clone(),
            groups,
            engine: engine.clone(),
            table,
            way: way.clone(),
            metrics,
            leaving: AtomicBool::new(false),
        });
        let serving = CancellationToken::new();
        let running = CancellationToken::new();

        let limits = server::Limits {
            connections: settings.callers.connections,
            head_time: settings.callers.head_time,
            headers: settings.callers.headers,
            head_bytes: settings.callers.head_bytes,
        };
        let ingress = Arc::new(Ingress::new(way, ingress_metrics));
        let log_reader = log.clone();
        let appender = Appender::new(log, follower.view(), me.name.clone(), me.incarnation)
            .with_metrics(log_metrics);
        let guard = Guard::new(links, members.roster());
        let request_server =
            link::serve_with_relay(listeners.requests, engine, guard, serving.clone());
        let servers = vec![
            spawn_until(&running, {
                let serving = serving.clone();
                async move {
                    // It ends with an error only if its listening socket is lost.
                    let _ = server::serve(listeners.callers, ingress, limits, serving).await;
                }
            }),
            spawn_until(&running, request_server),
        ];
        spawn_until(
            &running,
            control::serve(listeners.control, core.clone(), running.clone()),
        );
        let admin = admin::serve(
            listeners.admin,
            core.clone(),
            Arc::new(registry),
            running.clone(),
        );
        spawn_until(&running, async move {
            // The admin endpoint ends with its listening socket only.
            let _ = admin.await;
        });
        let probing = running.clone();
        spawn_until(&running, async move { members.run(probing).await });
        spawn_until(&running, watch::states(core.clone(), pool.clone()));
        spawn_until(&running, watch::members(core.clone()));
        spawn_until(&running, watch::vms(core.clone(), vms));
        spawn_until(&running, watch::events(events, records_to));
        spawn_until(
            &running,
            confirm::run(core.clone(), client.clone(), log_reader),
        );
        spawn_until(&running, watch::load(core.clone()));
        spawn_until(&running, watch::contact(core.clone()));
        spawn_until(&running, watch::quarantine(core.clone(), client.clone()));
        spawn_until(&running, watch::observations(core.clone(), observations));
        spawn_until(&running, appointer::run(core.clone(), appender, records));

        let daemon = Self {
            core,
            listening,
            client,
            stop_time: settings.stop_time,
            serving,
            running,
            servers,
            _follower: follower,
        };
        daemon.announce();
        Ok(daemon)
    }

    /// This daemon as a member.
    #[must_use]
    pub fn member(&self) -> &Member {
        &self.core.me
    }

    /// Where the daemon listens, which others may reach by other addresses.
    #[must_use]
    pub fn listening(&self) -> Listening {
        self.listening
    }

    /// Hands groups over, finishes what is in flight, and stops.
    pub async fn stop(mut self) {
        stop::hand_over_all(&self.core, &self.client).await;
        // Only now: whoever hears of it may be appointed at once, without the keys handed over.
        self.core.members.leave();
        self.core.engine.stop();
        self.serving.cancel();
        let servers = std::mem::take(&mut self.servers);
        let finished = futures::future::join_all(servers);
        // What is still in flight after this time is cut off when the process ends.
        let _ = timeout(self.stop_time, finished).await;
        self.running.cancel();
    }

    fn announce(&self) {
        let name = self.core.me.name.to_string();
        let Listening {
            callers,
            requests,
            control,
            admin,
        } = self.listening;
        info!("serving", kv: { name, callers:, requests:, control:, admin: });
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.serving.cancel();
        self.running.cancel();
    }
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Self, Report<Error>> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind("listen.callers", listen.callers).await?,
            requests: bind("listen.requests", listen.requests).await?,
            control: bind("listen.control", listen.control).await?,
            admin: bind("listen.admin", listen.admin).await?,
        })
    }

    fn listening(&self) -> io::Result<Listening> {
        Ok(Listening {
            callers: self.callers.local_addr()?,
            requests: self.requests.local_addr()?,
            control: self.control.local_addr()?,
            admin: self.admin.local_addr()?,
        })
    }

    fn member(&self, settings: &Settings) -> io::Result<Member> {
        let listening = self.listening()?;
        let advertise = settings.advertise.unwrap_or(Advertise {
            requests: listening.requests,
            control: listening.control,
            admin: listening.admin,
        });
        Ok(Member {
            name: settings.name.clone(),
            incarnation: incarnation(),
            data_centre: settings.data_centre.clone(),
            control: advertise.control,
            requests: advertise.requests,
            admin: advertise.admin,
        })
    }
}

async fn bind(field: &str, address: SocketAddr) -> Result<TcpListener, Report<Error>> {
    TcpListener::bind(address)
        .await
        .change_context(Error)
        .attach_with(|| {
            format!("{field}: {address} cannot be listened on; free it or name another")
        })
}

/// Numbers this run by wall time, since a VM keeps nothing from which to count.
fn incarnation() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Connections to other daemons leave from the address that they know this one by.
fn dial(settings: &Settings) -> Dial {
    let own = settings.listen.control.ip();
    if own.is_unspecified() {
        Dial::new()
    } else {
        Dial::new().with_source(own)
    }
}

fn spawn_until(
    running: &CancellationToken,
    task: impl Future<Output = ()> + Send + 'static,
) -> JoinHandle<()> {
    let running = running.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = task => {}
            () = running.cancelled() => {}
        }
    })
}

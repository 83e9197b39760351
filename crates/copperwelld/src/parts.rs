//! Construction of the components of a daemon, before its tasks are spawned.

use std::sync::{Arc, atomic::AtomicBool};

use crate::{
    core::Core,
    metrics::Metrics,
    network::Router,
    relay::Peers,
    settings::{ReadLog, Settings},
};
use copperwell_backend::{Client as Servers, Pool};
use copperwell_caller::{Ingress, metrics::Metrics as IngressMetrics};
use copperwell_dispatch::{Engine, Observation, table::Table};
use copperwell_keyspace::Member;
use copperwell_log::{
    append::Appender,
    follow::{self, Follower, Source},
    http, metrics as log_metrics,
};
use copperwell_ownership::{Event, Groups};
use copperwell_peer::{
    control::{Client, Refusals},
    dial::Dialer,
    link::Links,
    members::Members,
};
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use tokio::sync::mpsc;

/// The capacity of the queue of group events.
const EVENT_QUEUE_LEN: usize = 1024;

/// The components of a daemon.
pub(crate) struct Parts {
    pub(crate) core: Arc<Core<Servers, Pool>>,
    pub(crate) ingress: Arc<Ingress<Router<Pool>>>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) peering: Peering,
    pub(crate) platform: Platform,
    pub(crate) appender: Appender<http::Client>,
    pub(crate) events: mpsc::Receiver<Event>,
    pub(crate) observations: mpsc::Receiver<Observation>,
    pub(crate) registry: Arc<Registry>,
}

/// The clients and links to other daemons.
pub(crate) struct Peering {
    pub(crate) client: Client,
    pub(crate) refusals: Refusals,
    pub(crate) links: Links,
    pub(crate) members: Arc<Members>,
}

/// The clients of the platform's services.
pub(crate) struct Platform {
    pub(crate) log: Arc<http::Client>,
    pub(crate) vms: Arc<http::Client>,
    pub(crate) follower: Follower,
    metrics: log_metrics::Metrics,
}

impl Parts {
    /// Creates the components of a daemon and starts the log follower.
    pub(crate) fn new(me: &Member, settings: &Settings) -> Self {
        let mut registry = Registry::with_prefix("copperwell");
        let peering = Peering::new(me, settings, &mut registry);
        let platform = Platform::new(me, settings, &peering, &mut registry);
        let table = Arc::new(Table::new());
        let pool = Arc::new(Pool::new());
        pool.metrics().register(&mut registry);
        let (engine, observations) = Engine::new(pool.clone(), table.clone());
        engine.register(&mut registry);
        let engine = Arc::new(engine);
        let roster = peering.members.roster();
        let router = Router::new(me.clone(), engine.clone(), peering.links.clone(), roster);
        let router = Arc::new(router);
        let (event_tx, events) = mpsc::channel(EVENT_QUEUE_LEN);
        let groups = groups(me, table.clone(), event_tx, &mut registry);
        let ingress = Ingress::new(router.clone(), IngressMetrics::new(&mut registry));
        let core = Core {
            me: me.clone(),
            retained_log: platform.follower.held(),
            view: platform.follower.view(),
            members: peering.members.clone(),
            groups,
            engine,
            table,
            router,
            metrics: Metrics::new(&mut registry),
            leaving: AtomicBool::new(false),
        };
        Self {
            core: Arc::new(core),
            ingress: Arc::new(ingress),
            pool,
            appender: platform.appender(me),
            peering,
            platform,
            events,
            observations,
            registry: Arc::new(registry),
        }
    }
}

impl Peering {
    fn new(me: &Member, settings: &Settings, registry: &mut Registry) -> Self {
        let dialer = dialer(settings);
        let client = Client::with_dialer(dialer);
        client.register(registry);
        let refusals = Refusals::new();
        refusals.register(registry);
        let links = Links::with_dialer(dialer);
        links.register(registry);
        let members = Members::new(me.clone(), settings.seeds.clone(), client.clone());
        Self {
            client,
            refusals,
            links,
            members,
        }
    }
}

impl Platform {
    fn new(me: &Member, settings: &Settings, peering: &Peering, registry: &mut Registry) -> Self {
        let bytes = Counter::default();
        registry.register(
            "platform_bytes",
            "Bytes sent to and received from the platform",
            bytes.clone(),
        );
        let log = http::Client::new(settings.platform.log).with_bytes(bytes.clone());
        let log = Arc::new(log);
        let vms = http::Client::new(settings.platform.vms).with_bytes(bytes);
        let relay = Peers::new(me.clone(), peering.members.clone(), peering.client.clone());
        let source = match settings.platform.read_log {
            ReadLog::Automatic => Source::Chosen,
            ReadLog::Directly => Source::Platform,
            ReadLog::ThroughPeers => Source::Peer,
        };
        let follow_settings = follow::Settings::new(source).with_writer(me.name.clone());
        let metrics = log_metrics::Metrics::new(registry);
        let follower = Follower::start_with(
            log.clone(),
            Arc::new(relay),
            follow_settings,
            metrics.clone(),
        );
        Self {
            log,
            vms: Arc::new(vms),
            follower,
            metrics,
        }
    }

    fn appender(&self, me: &Member) -> Appender<http::Client> {
        let view = self.follower.view();
        let appender = Appender::new(self.log.clone(), view, me.name.clone(), me.incarnation);
        appender.with_metrics(self.metrics.clone())
    }
}

fn groups(
    me: &Member,
    table: Arc<Table>,
    events: mpsc::Sender<Event>,
    registry: &mut Registry,
) -> Groups<Servers> {
    let servers = Servers::new();
    servers.register(registry);
    Groups::new(me.clone(), Arc::new(servers), table, events, registry)
}

/// Binds connections to other daemons to the address under which they know this one.
fn dialer(settings: &Settings) -> Dialer {
    let source = settings.listen.control.ip();
    if source.is_unspecified() {
        Dialer::new()
    } else {
        Dialer::new().with_source(source)
    }
}

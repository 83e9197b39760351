//! Everything that a daemon is made of, before its tasks run.

use std::sync::{Arc, atomic::AtomicBool};

use crate::{
    core::Core,
    metrics::Metrics,
    network::Way,
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
    http, metrics as platform,
};
use copperwell_ownership::{Event, Groups};
use copperwell_peer::{
    control::{Client, Refusals},
    dial::Dial,
    link::Links,
    members::Members,
};
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use tokio::sync::mpsc;

/// Events of groups that may wait to be handled.
const EVENTS: usize = 1024;

/// Everything that a daemon is made of.
pub(crate) struct Parts {
    pub(crate) core: Arc<Core<Servers, Pool>>,
    pub(crate) ingress: Arc<Ingress<Way<Pool>>>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) peering: Peering,
    pub(crate) reading: Reading,
    pub(crate) appender: Appender<http::Client>,
    pub(crate) events: mpsc::Receiver<Event>,
    pub(crate) observations: mpsc::Receiver<Observation>,
    pub(crate) registry: Arc<Registry>,
}

/// The ways to other daemons.
pub(crate) struct Peering {
    pub(crate) client: Client,
    pub(crate) refusals: Refusals,
    pub(crate) links: Links,
    pub(crate) members: Arc<Members>,
}

/// The ways to the platform.
pub(crate) struct Reading {
    pub(crate) log: Arc<http::Client>,
    pub(crate) vms: Arc<http::Client>,
    pub(crate) follower: Follower,
    metrics: platform::Metrics,
}

impl Parts {
    /// Puts a daemon together; its follower begins to read the log.
    pub(crate) fn new(me: &Member, settings: &Settings) -> Self {
        let mut registry = Registry::with_prefix("copperwell");
        let peering = Peering::new(me, settings, &mut registry);
        let reading = Reading::new(me, settings, &peering, &mut registry);
        let table = Arc::new(Table::new());
        let pool = Arc::new(Pool::new());
        pool.metrics().register(&mut registry);
        let (engine, observations) = Engine::new(pool.clone(), table.clone());
        engine.register(&mut registry);
        let engine = Arc::new(engine);
        let roster = peering.members.roster();
        let way = Way::new(me.clone(), engine.clone(), peering.links.clone(), roster);
        let way = Arc::new(way);
        let (events_to, events) = mpsc::channel(EVENTS);
        let groups = groups(me, table.clone(), events_to, &mut registry);
        let ingress = Ingress::new(way.clone(), IngressMetrics::new(&mut registry));
        let core = Core {
            me: me.clone(),
            held: reading.follower.held(),
            view: reading.follower.view(),
            members: peering.members.clone(),
            groups,
            engine,
            table,
            way,
            metrics: Metrics::new(&mut registry),
            leaving: AtomicBool::new(false),
        };
        Self {
            core: Arc::new(core),
            ingress: Arc::new(ingress),
            pool,
            appender: reading.appender(me),
            peering,
            reading,
            events,
            observations,
            registry: Arc::new(registry),
        }
    }
}

impl Peering {
    fn new(me: &Member, settings: &Settings, registry: &mut Registry) -> Self {
        let dial = dial(settings);
        let client = Client::with_dial(dial);
        client.register(registry);
        let refusals = Refusals::new();
        refusals.register(registry);
        let links = Links::with_dial(dial);
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

impl Reading {
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
        let how = follow::Settings::new(source).with_writer(me.name.clone());
        let metrics = platform::Metrics::new(registry);
        let follower = Follower::start_with(log.clone(), Arc::new(relay), how, metrics.clone());
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

/// Connections to other daemons leave from the address that they know this one by.
fn dial(settings: &Settings) -> Dial {
    let own = settings.listen.control.ip();
    if own.is_unspecified() {
        Dial::new()
    } else {
        Dial::new().with_source(own)
    }
}

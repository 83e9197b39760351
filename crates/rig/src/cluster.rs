//! Daemons, a platform and backend servers on loopback.

use std::{
    collections::BTreeMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use crate::{
    load::Entries,
    node::{Doors, Launch, Node},
    probe,
};
use bytes::Bytes;
use copperwell_keyspace::{
    GroupId, HashMap,
    manifest::{Manifest, Upstream},
    record::{Body, Id, Record as LogRecord, STREAM},
};
use copperwell_log::{Log, http::Client};
use copperwell_operator::status::{STATUS_PATH, Status};
use copperwell_standin::{
    backend::{Options, Record, Server},
    platform::Platform,
    proxy::Proxy,
};
use copperwelld::settings::{
    Advertise, Callers, Listen, Platform as PlatformSettings, ReadLog, Settings,
};
use http_body_util::{BodyExt, Empty};
use hyper_util::{client::legacy, rt::TokioExecutor};
use tokio::time::{Instant, sleep, timeout};

/// Time in which a cluster must come into service.
const START_TIME: Duration = Duration::from_secs(30);

/// Time in which a daemon's admin endpoint must answer.
const ADMIN_TIME: Duration = Duration::from_secs(2);

/// Daemons that a new one is told of.
const SEEDS: usize = 3;

/// The third number of the first data centre's address.
const FIRST_SOURCE: u8 = 10;

/// Worker threads of a daemon.
const WORKERS: usize = 2;

/// How often conditions are looked at.
const LOOK: Duration = Duration::from_millis(20);

/// What a cluster consists of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The manifest; addresses of upstreams are filled in when their servers have started.
    pub manifest: Manifest,
    /// Daemons in each data centre.
    pub daemons: usize,
    /// How daemons are started.
    pub launch: Launch,
    /// Whether fault proxies stand between data centres.
    pub is_proxied: bool,
    /// Whether fault proxies stand between daemons and servers.
    pub proxies_servers: bool,
    /// How long a request runs, by service.
    pub service_times: HashMap<String, Duration>,
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// The platform.
    pub platform: Platform,
    /// What the servers held and ran.
    pub record: Record,
    /// The servers, by upstream.
    pub servers: HashMap<String, Server>,
    /// The ways from daemons to servers, by upstream, where a fault proxy stands there.
    pub ways: HashMap<String, Proxy>,
    /// The daemons.
    pub nodes: Vec<Node>,
    /// Where callers find daemons.
    pub entries: Entries,
    /// The manifest in force.
    pub manifest: Manifest,
    /// How further daemons are started.
    pub launch: Launch,
    /// Worker threads of further daemons.
    pub workers: usize,
    started: usize,
    /// Whether a fault proxy stands before each daemon, and before the platform.
    is_proxied: bool,
    /// The time that bytes take between data centres, one way.
    distance: Duration,
    /// The platform as each data centre sees it.
    gates: HashMap<String, Proxy>,
}

impl Cluster {
    /// Starts everything, publishes the manifest, and waits until every shard has an owner.
    ///
    /// # Errors
    ///
    /// An error if something does not start in time.
    pub async fn start(plan: Plan) -> io::Result<Self> {
        let mut cluster = Self::start_servers(plan.manifest, &plan.service_times).await?;
        cluster.launch = plan.launch;
        cluster.is_proxied = plan.is_proxied;
        if plan.proxies_servers {
            cluster.start_ways().await?;
        }
        cluster.publish().await?;
        let places = cluster.manifest.data_centres.clone();
        for place in &places {
            if plan.is_proxied {
                let gate = Proxy::start(cluster.platform.address()).await?;
                cluster.gates.insert(place.name.to_string(), gate);
            }
            for _ in 0..plan.daemons {
                cluster.add_node(&place.name).await?;
            }
        }
        cluster.wait_owned().await?;
        Ok(cluster)
    }

    /// Starts the platform and the servers only.
    ///
    /// # Errors
    ///
    /// An error if something does not start.
    pub async fn start_servers(
        mut manifest: Manifest,
        service_times: &HashMap<String, Duration>,
    ) -> io::Result<Self> {
        let platform = Platform::start().await;
        let record = Record::new();
        let mut servers = HashMap::default();
        for service in &mut manifest.services {
            let time = service_times
                .get(&*service.name)
                .copied()
                .unwrap_or_default();
            for upstream in &mut service.upstreams {
                let server = Server::start(options_of(upstream, time), &record).await?;
                upstream.address = server.address();
                servers.insert(upstream.name.to_string(), server);
            }
        }
        Ok(Self {
            platform,
            record,
            servers,
            ways: HashMap::default(),
            nodes: Vec::new(),
            entries: Entries::new(Vec::new()),
            manifest,
            launch: Launch::InProcess,
            workers: WORKERS,
            started: 0,
            is_proxied: false,
            distance: Duration::ZERO,
            gates: HashMap::default(),
        })
    }

    /// Puts a fault proxy before each server.
    async fn start_ways(&mut self) -> io::Result<()> {
        let services = self.manifest.services.iter_mut();
        for upstream in services.flat_map(|service| &mut service.upstreams) {
            let way = Proxy::start(upstream.address).await?;
            upstream.address = way.address();
            self.ways.insert(upstream.name.to_string(), way);
        }
        Ok(())
    }

    /// Sets the time that bytes take between the daemons of two data centres, one way; needs
    /// the fault proxies between data centres.
    pub fn set_distance(&mut self, distance: Duration) {
        self.distance = distance;
        for node in &self.nodes {
            if let Some(doors) = &node.doors {
                doors.set_distance(distance, self.source_of(&node.data_centre));
            }
        }
    }

    /// Starts one more daemon and lists its VM.
    ///
    /// # Errors
    ///
    /// An error if it does not start.
    pub async fn add_node(&mut self, data_centre: &str) -> io::Result<()> {
        self.started += 1;
        let places = &self.manifest.data_centres;
        let place = places.iter().find(|place| &*place.name == data_centre);
        let place = place.ok_or_else(|| missing("data centre", data_centre))?;
        let source = self.source_of(data_centre);
        let any = SocketAddr::new(source, 0);
        let gate = match self.gates.get(data_centre) {
            Some(gate) => gate.address(),
            None => self.platform.address(),
        };
        let doors = if self.is_proxied {
            let doors = Doors::start(gate).await?;
            doors.set_distance(self.distance, source);
            Some(doors)
        } else {
            None
        };
        let name = format!("{data_centre}-entry-{}", self.started);
        let platform = doors
            .as_ref()
            .map_or(gate, |doors| doors.platform.address());
        let settings = Settings {
            name: name.into(),
            data_centre: data_centre.into(),
            region: place.region.clone(),
            listen: Listen {
                callers: any,
                requests: any,
                control: any,
                admin: any,
            },
            advertise: doors.as_ref().map(|doors| Advertise {
                requests: doors.requests.address(),
                control: doors.control.address(),
                admin: SocketAddr::new(source, 1),
            }),
            platform: PlatformSettings {
                log: platform,
                vms: platform,
                read_log: ReadLog::Automatic,
            },
            seeds: self.nodes.iter().take(SEEDS).map(Node::control).collect(),
            callers: Callers::default(),
            stop_time: Duration::from_secs(10),
            workers: Some(self.workers),
        };
        self.nodes
            .push(Node::start(&settings, &self.launch, doors)?);
        self.list();
        Ok(())
    }

    /// The server of an upstream.
    ///
    /// # Errors
    ///
    /// An error if there is none.
    pub fn server(&self, name: &str) -> io::Result<&Server> {
        self.servers
            .get(name)
            .ok_or_else(|| missing("upstream", name))
    }

    /// A daemon.
    ///
    /// # Errors
    ///
    /// An error if there is none of this name.
    pub fn node(&self, name: &str) -> io::Result<&Node> {
        let node = self.nodes.iter().find(|node| &*node.name == name);
        node.ok_or_else(|| missing("daemon", name))
    }

    /// Cuts a data centre off from the platform and the others, or joins it again.
    pub fn cut(&self, data_centre: &str, cut: bool) {
        let own = self.source_of(data_centre);
        let places = self.manifest.data_centres.iter();
        let others = places
            .map(|place| self.source_of(&place.name))
            .filter(|ip| *ip != own);
        let others: Vec<IpAddr> = others.collect();
        for node in &self.nodes {
            let Some(doors) = &node.doors else { continue };
            let sources = if &*node.data_centre == data_centre {
                &others[..]
            } else {
                &[own]
            };
            doors.cut(if cut { sources } else { &[] });
        }
        match self.gates.get(data_centre) {
            Some(gate) if cut => gate.cut_both(),
            Some(gate) => gate.heal(),
            None => {}
        }
    }

    /// The address that the daemons of a data centre listen on and connect from.
    fn source_of(&self, data_centre: &str) -> IpAddr {
        let places = self.manifest.data_centres.iter();
        let index = places
            .zip(FIRST_SOURCE..)
            .find(|(place, _)| &*place.name == data_centre);
        let last = index.map_or(FIRST_SOURCE, |(_, index)| index);
        IpAddr::from([127, 0, last, 1])
    }

    /// Takes a daemon out of the cluster; its VM stays listed until [`Cluster::list`].
    ///
    /// # Panics
    ///
    /// If there is no daemon of this name.
    pub fn take_node(&mut self, name: &str) -> Node {
        let index = self.nodes.iter().position(|node| &*node.name == name);
        let node = self
            .nodes
            .remove(index.expect("the daemon is part of the cluster"));
        self.entries.set(self.callers());
        node
    }

    /// Brings the platform's list of VMs and the balancer up to date.
    pub fn list(&self) {
        self.platform
            .set_vms(self.nodes.iter().map(Node::vm).collect());
        self.entries.set(self.callers());
    }

    /// The leader of a group as some daemon tells it: `SERVICE/DATA-CENTRE/PART`.
    pub async fn leader_of(&self, group: &str) -> Option<String> {
        for node in &self.nodes {
            let Some(status) = status(node.addresses.admin).await else {
                continue;
            };
            let led = status.groups.iter().any(|led| {
                led.role == copperwell_operator::status::Role::Leader
                    && led.group.to_string() == group
            });
            if led {
                return Some(node.name.to_string());
            }
        }
        None
    }

    /// Appends the manifest to the log.
    ///
    /// # Errors
    ///
    /// An error if the log refuses it.
    pub async fn publish(&self) -> io::Result<()> {
        let record = LogRecord {
            id: Id {
                writer: "rig".into(),
                incarnation: self.manifest.version(),
                sequence: 1,
            },
            body: Body::Manifest(self.manifest.clone()),
        };
        let bytes = record
            .encode()
            .map_err(|report| io::Error::other(format!("{report:?}")))?;
        let log = Client::new(self.platform.address());
        let appended = log.append(STREAM, bytes).await;
        appended
            .map(|_| ())
            .map_err(|report| io::Error::other(format!("{report:?}")))
    }

    /// Waits until every shard of every service is held by a server.
    ///
    /// # Errors
    ///
    /// An error if that takes too long.
    pub async fn wait_owned(&self) -> io::Result<()> {
        self.wait("all shards are held", || self.held() >= self.shards())
            .await
    }

    /// Waits until every shard is held, and a fresh request that is not repeatable gets its
    /// owner's answer.
    ///
    /// Leaders that have just begun answer idempotency keys made before as having perhaps run.
    ///
    /// # Errors
    ///
    /// An error if that takes too long.
    pub async fn wait_ready(&self) -> io::Result<()> {
        self.wait_owned().await?;
        self.wait_served(&self.entries).await
    }

    /// Waits until every shard of every service answers through the given daemons.
    ///
    /// # Errors
    ///
    /// An error if that takes too long, or an answer is another request's.
    pub async fn wait_served(&self, entries: &Entries) -> io::Result<()> {
        self.wait_groups_served(|_| true, entries).await
    }

    /// Waits until every shard that some groups own answers through the given daemons.
    ///
    /// # Errors
    ///
    /// An error if that takes too long, or an answer is another request's.
    pub async fn wait_groups_served(
        &self,
        groups: impl Fn(&GroupId) -> bool,
        entries: &Entries,
    ) -> io::Result<()> {
        let until = Instant::now() + START_TIME;
        probe::wait(&self.manifest, groups, entries, until).await
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// An error if it does not hold in time.
    pub async fn wait(&self, what: &str, condition: impl Fn() -> bool) -> io::Result<()> {
        let until = Instant::now() + START_TIME;
        while !condition() {
            if Instant::now() >= until {
                return Err(io::Error::other(format!("not in time: {what}")));
            }
            sleep(LOOK).await;
        }
        Ok(())
    }

    /// Shards that servers hold now.
    #[must_use]
    pub fn held(&self) -> usize {
        self.servers
            .values()
            .map(|server| server.shards().len())
            .sum()
    }

    /// Shards that servers but the named one hold now.
    #[must_use]
    pub fn held_by_others(&self, name: &str) -> usize {
        let others = self.servers.iter().filter(|(server, _)| *server != name);
        others.map(|(_, server)| server.shards().len()).sum()
    }

    /// Shards of all services.
    #[must_use]
    pub fn shards(&self) -> usize {
        let services = self.manifest.services.iter();
        services.map(|service| service.shards as usize).sum()
    }

    fn callers(&self) -> Vec<SocketAddr> {
        self.nodes
            .iter()
            .map(|node| node.addresses.callers)
            .collect()
    }
}

/// Reads a daemon's status page.
pub async fn status(admin: SocketAddr) -> Option<Status> {
    serde_json::from_slice(&get(admin, STATUS_PATH).await?).ok()
}

async fn get(admin: SocketAddr, path: &str) -> Option<Bytes> {
    let client = legacy::Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{admin}{path}").parse().ok()?;
    let asked = timeout(ADMIN_TIME, client.get(uri)).await;
    let body = asked.ok()?.ok()?.into_body().collect().await.ok()?;
    Some(body.to_bytes())
}

fn options_of(upstream: &Upstream, service_time: Duration) -> Options {
    let mut options = Options::new(&upstream.name);
    options.slots = upstream.slots;
    options.connections = upstream.connections;
    options.fencing = upstream.fencing;
    options.service_time = service_time;
    options.connect_time = Duration::from_millis(1);
    options.restart_after_crash = Some(Duration::from_secs(1));
    options
}

/// Shares a cluster between a load and its faults.
pub type Shared = Arc<tokio::sync::Mutex<Cluster>>;

fn missing(what: &str, name: &str) -> io::Error {
    io::Error::other(format!("there is no {what} `{name}`; check the scenario"))
}

/// The counters of all daemons, added up over daemons and labels.
pub async fn metrics(nodes: &[Node]) -> BTreeMap<String, f64> {
    let mut sums = BTreeMap::new();
    for node in nodes {
        let Some(text) = get(node.addresses.admin, "/metrics").await else {
            continue;
        };
        let text = String::from_utf8_lossy(&text);
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let name = name.split('{').next().unwrap_or(name);
            *sums.entry(name.to_owned()).or_default() += value.parse().unwrap_or(0.0);
        }
    }
    sums
}

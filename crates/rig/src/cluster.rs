//! A cluster on loopback: daemons, the platform and backend servers.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use crate::{
    load::Entries,
    node::{Launch, Node, Proxies},
};
use copperwell_keyspace::{
    HashMap,
    manifest::{Manifest, Upstream},
    record::{Body, Id, Record as LogRecord, STREAM},
};
use copperwell_log::{Log, http::Client};
use copperwell_operator::status::Role;
use copperwell_standin::{
    backend::{Options, Record, Server},
    platform::Platform,
    proxy::Proxy,
};
use copperwelld::settings::{
    Advertise, Callers, Listen, Platform as PlatformSettings, ReadLog, Settings,
};

pub use admin::{metrics, status};

mod admin;
mod wait;

/// The largest number of seeds in the settings of a daemon.
const MAX_SEEDS: usize = 3;

/// The third octet of the first data centre's loopback address.
const FIRST_SOURCE_OCTET: u8 = 10;

/// The default number of worker threads of a daemon.
const DEFAULT_WORKERS: usize = 2;

/// The configuration of a cluster.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The manifest; the addresses of upstreams are filled in when their servers have started.
    pub manifest: Manifest,
    /// The number of daemons in each data centre.
    pub daemons: usize,
    /// How daemons are started.
    pub launch: Launch,
    /// Whether fault proxies run between data centres, and between daemons and the platform.
    pub is_proxied: bool,
    /// Whether fault proxies run between daemons and servers.
    pub proxies_servers: bool,
    /// How long a server takes to run a request, by service.
    pub service_times: HashMap<String, Duration>,
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// The stand-in of the platform.
    pub platform: Platform,
    /// The record of the shards that servers owned and the requests that they ran.
    pub record: Record,
    /// The servers, by upstream.
    pub servers: HashMap<String, Server>,
    /// The fault proxies between daemons and servers, by upstream; empty without
    /// [`Plan::proxies_servers`].
    pub ways: HashMap<String, Proxy>,
    /// The running daemons.
    pub nodes: Vec<Node>,
    /// The addresses at which callers reach the daemons.
    pub entries: Entries,
    /// The manifest in force.
    pub manifest: Manifest,
    /// How daemons added later are started.
    pub launch: Launch,
    /// Worker threads of daemons added later.
    pub workers: usize,
    /// Daemons started so far, for unique names.
    started: usize,
    /// Whether fault proxies run in front of each daemon and of the platform.
    is_proxied: bool,
    /// The one-way network delay between data centres.
    one_way_delay: Duration,
    /// The fault proxies in front of the platform, by data centre.
    platform_proxies: HashMap<String, Proxy>,
}

impl Cluster {
    /// Starts all parts, publishes the manifest, and waits until every shard has an owner.
    ///
    /// # Errors
    ///
    /// Returns an error if a part does not start, or if a shard has no owner in time.
    pub async fn start(plan: Plan) -> io::Result<Self> {
        let mut cluster = Self::start_servers(plan.manifest, &plan.service_times).await?;
        cluster.launch = plan.launch;
        cluster.is_proxied = plan.is_proxied;
        if plan.proxies_servers {
            cluster.start_server_proxies().await?;
        }
        cluster.publish().await?;
        let data_centres = cluster.manifest.data_centres.clone();
        for data_centre in &data_centres {
            if plan.is_proxied {
                let proxy = Proxy::start(cluster.platform.address()).await?;
                cluster
                    .platform_proxies
                    .insert(data_centre.name.to_string(), proxy);
            }
            for _ in 0..plan.daemons {
                cluster.add_node(&data_centre.name).await?;
            }
        }
        cluster.wait_owned().await?;
        Ok(cluster)
    }

    /// Starts the platform and the servers, without daemons.
    ///
    /// # Errors
    ///
    /// Returns an error if a server does not start.
    pub async fn start_servers(
        mut manifest: Manifest,
        service_times: &HashMap<String, Duration>,
    ) -> io::Result<Self> {
        let platform = Platform::start().await;
        let record = Record::new();
        let mut servers = HashMap::default();
        for service in &mut manifest.services {
            let service_time = service_times
                .get(&*service.name)
                .copied()
                .unwrap_or_default();
            for upstream in &mut service.upstreams {
                let server = Server::start(options_of(upstream, service_time), &record).await?;
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
            workers: DEFAULT_WORKERS,
            started: 0,
            is_proxied: false,
            one_way_delay: Duration::ZERO,
            platform_proxies: HashMap::default(),
        })
    }

    /// Starts a fault proxy in front of each server and puts its address into the manifest.
    async fn start_server_proxies(&mut self) -> io::Result<()> {
        let services = self.manifest.services.iter_mut();
        for upstream in services.flat_map(|service| &mut service.upstreams) {
            let proxy = Proxy::start(upstream.address).await?;
            upstream.address = proxy.address();
            self.ways.insert(upstream.name.to_string(), proxy);
        }
        Ok(())
    }

    /// Sets the one-way network delay between daemons of different data centres.
    ///
    /// Has no effect without [`Plan::is_proxied`].
    pub fn set_one_way_delay(&mut self, delay: Duration) {
        self.one_way_delay = delay;
        for node in &self.nodes {
            if let Some(proxies) = &node.doors {
                proxies.set_one_way_delay(delay, self.source_of(&node.data_centre));
            }
        }
    }

    /// Starts one more daemon and adds it to the platform's list of VMs and to the balancer.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not start, or if the manifest does not have the data
    /// centre.
    pub async fn add_node(&mut self, data_centre: &str) -> io::Result<()> {
        self.started += 1;
        let data_centres = &self.manifest.data_centres;
        let entry = data_centres
            .iter()
            .find(|entry| &*entry.name == data_centre);
        let entry = entry.ok_or_else(|| missing("data centre", data_centre))?;
        let source = self.source_of(data_centre);
        let any_port = SocketAddr::new(source, 0);
        let platform_address = match self.platform_proxies.get(data_centre) {
            Some(proxy) => proxy.address(),
            None => self.platform.address(),
        };
        let proxies = if self.is_proxied {
            let proxies = Proxies::start(platform_address).await?;
            proxies.set_one_way_delay(self.one_way_delay, source);
            Some(proxies)
        } else {
            None
        };
        let name = format!("{data_centre}-entry-{}", self.started);
        let platform = proxies
            .as_ref()
            .map_or(platform_address, |proxies| proxies.platform.address());
        let settings = Settings {
            name: name.into(),
            data_centre: data_centre.into(),
            region: entry.region.clone(),
            listen: Listen {
                callers: any_port,
                requests: any_port,
                control: any_port,
                admin: any_port,
            },
            advertise: proxies.as_ref().map(|proxies| Advertise {
                requests: proxies.requests.address(),
                control: proxies.control.address(),
                admin: SocketAddr::new(source, 1),
            }),
            platform: PlatformSettings {
                log: platform,
                vms: platform,
                read_log: ReadLog::Automatic,
            },
            seeds: self
                .nodes
                .iter()
                .take(MAX_SEEDS)
                .map(Node::control)
                .collect(),
            callers: Callers::default(),
            stop_time: Duration::from_secs(10),
            workers: Some(self.workers),
        };
        self.nodes
            .push(Node::start(&settings, &self.launch, proxies)?);
        self.list();
        Ok(())
    }

    /// Returns the server of an upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if the cluster has no upstream of this name.
    pub fn server(&self, name: &str) -> io::Result<&Server> {
        self.servers
            .get(name)
            .ok_or_else(|| missing("upstream", name))
    }

    /// Returns a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the cluster has no daemon of this name.
    pub fn node(&self, name: &str) -> io::Result<&Node> {
        let node = self.nodes.iter().find(|node| &*node.name == name);
        node.ok_or_else(|| missing("daemon", name))
    }

    /// Starts or ends a network partition between a data centre and the rest: the other data
    /// centres and the platform.
    pub fn cut(&self, data_centre: &str, is_partitioned: bool) {
        let own = self.source_of(data_centre);
        let data_centres = self.manifest.data_centres.iter();
        let others = data_centres
            .map(|other| self.source_of(&other.name))
            .filter(|ip| *ip != own);
        let others: Vec<IpAddr> = others.collect();
        for node in &self.nodes {
            let Some(proxies) = &node.doors else { continue };
            let sources = if &*node.data_centre == data_centre {
                &others[..]
            } else {
                &[own]
            };
            proxies.cut(if is_partitioned { sources } else { &[] });
        }
        match self.platform_proxies.get(data_centre) {
            Some(proxy) if is_partitioned => proxy.cut_both(),
            Some(proxy) => proxy.heal(),
            None => {}
        }
    }

    /// Returns the address that the daemons of a data centre listen on and connect from.
    fn source_of(&self, data_centre: &str) -> IpAddr {
        let data_centres = self.manifest.data_centres.iter();
        let entry = data_centres
            .zip(FIRST_SOURCE_OCTET..)
            .find(|(entry, _)| &*entry.name == data_centre);
        let octet = entry.map_or(FIRST_SOURCE_OCTET, |(_, octet)| octet);
        IpAddr::from([127, 0, octet, 1])
    }

    /// Removes a daemon from the cluster and the balancer and returns it without stopping it.
    ///
    /// The platform lists its VM until [`Cluster::list`] is called.
    ///
    /// # Panics
    ///
    /// Panics if the cluster has no daemon of this name.
    pub fn take_node(&mut self, name: &str) -> Node {
        let index = self.nodes.iter().position(|node| &*node.name == name);
        let node = self
            .nodes
            .remove(index.expect("the daemon is part of the cluster"));
        self.entries.set(self.caller_addresses());
        node
    }

    /// Updates the platform's list of VMs and the balancer with the daemons of the cluster.
    pub fn list(&self) {
        self.platform
            .set_vms(self.nodes.iter().map(Node::vm).collect());
        self.entries.set(self.caller_addresses());
    }

    /// Returns the name of a daemon that reports itself as leader of a group, which is written
    /// `SERVICE/DATA-CENTRE/PART`.
    pub async fn leader_of(&self, group: &str) -> Option<String> {
        for node in &self.nodes {
            let Some(status) = status(node.addresses.admin).await else {
                continue;
            };
            let is_leader = status
                .groups
                .iter()
                .any(|entry| entry.role == Role::Leader && entry.group.to_string() == group);
            if is_leader {
                return Some(node.name.to_string());
            }
        }
        None
    }

    /// Appends the manifest to the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the manifest cannot be encoded or the log rejects it.
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

    /// Returns the number of shards that servers own now.
    #[must_use]
    pub fn held(&self) -> usize {
        self.servers
            .values()
            .map(|server| server.shards().len())
            .sum()
    }

    /// Returns the number of shards that servers other than the named one own now.
    #[must_use]
    pub fn held_by_others(&self, name: &str) -> usize {
        let others = self.servers.iter().filter(|(server, _)| *server != name);
        others.map(|(_, server)| server.shards().len()).sum()
    }

    /// Returns the number of shards of all services.
    #[must_use]
    pub fn shards(&self) -> usize {
        let services = self.manifest.services.iter();
        services.map(|service| service.shards as usize).sum()
    }

    fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes
            .iter()
            .map(|node| node.addresses.callers)
            .collect()
    }
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

/// A cluster shared between a run and the tasks that inject its faults.
pub type Shared = Arc<tokio::sync::Mutex<Cluster>>;

fn missing(kind: &str, name: &str) -> io::Error {
    io::Error::other(format!(
        "the cluster has no {kind} `{name}`; check the scenario"
    ))
}

//! A cluster of processes under load, checked by the servers' own record.

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use copperwell_keyspace::{
    DataCentreName, GroupId, HashMap, Member,
    manifest::{DataCentre, Manifest, Upstream},
};
use copperwell_operator::status::{LogState, Role, Status};
use copperwell_policy::readers::{READERS_PER_DATA_CENTRE, Readers};
use copperwell_rig::{
    cluster::{self, Cluster, Plan},
    load::{self, Caller, Entries},
    measure,
    node::{Launch, Node},
    probe,
    scenario::{self, Scenario, User},
    schedule,
};
use copperwell_standin::backend::record::Move;
use http::StatusCode;
use http_body_util::Empty;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    task::{JoinHandle, JoinSet},
    time::{Instant, interval, sleep},
};

/// Clusters that run at a time.
static CLUSTERS: Semaphore = Semaphore::const_new(3);

/// Time in which a condition must come to hold, however slow the machine is.
pub(crate) const CONDITION_TIME: Duration = Duration::from_secs(30);

/// How often conditions are looked at.
pub(crate) const LOOK: Duration = Duration::from_millis(20);

/// The length of one piece of the load.
const PIECE: Duration = Duration::from_millis(500);

/// Numbers of offers that are kept for one piece of the load.
const PIECE_NUMBERS: u64 = 1 << 20;

/// Seeds of one load; no two loads share one, so that no two callers share an idempotency key.
const LOAD_SEEDS: u64 = 1 << 24;

/// Loads that were started.
static LOADS: AtomicU64 = AtomicU64::new(0);

/// Shards of the service.
const SHARDS: u32 = 20;

/// Requests per second to each service.
const RATE: f64 = 100.0;

/// How long a request runs at its server.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// How long a request may take where nothing is to be cut short.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

/// The data centre in which faults strike.
pub(crate) const HERE: &str = "ro-nord-a";

/// The group in which faults strike.
pub(crate) const GROUP: &str = "calendar/ro-nord-a/0";

/// The group of the other data centre.
pub(crate) const OTHER_GROUP: &str = "calendar/ro-nord-b/0";

/// The data centre that only some tests have.
const THIRD: &str = "ro-nord-c";

const MANIFEST: &str = "
replaces: 0
data_centres:
  - { name: ro-nord-a, region: ro-nord }
  - { name: ro-nord-b, region: ro-nord }
services:
  - name: calendar
    class: interactive
    shards: 20
    upstreams:
      - { name: cal-a1, data_centre: ro-nord-a, address: '127.0.0.1:1', slots: 2, connections: 130 }
      - { name: cal-a2, data_centre: ro-nord-a, address: '127.0.0.1:2', slots: 2, connections: 130 }
      - { name: cal-a3, data_centre: ro-nord-a, address: '127.0.0.1:5', slots: 2, connections: 130 }
      - { name: cal-b1, data_centre: ro-nord-b, address: '127.0.0.1:3', slots: 2, connections: 130 }
      - { name: cal-b2, data_centre: ro-nord-b, address: '127.0.0.1:4', slots: 2, connections: 130 }
";

/// Adds a third data centre with two servers.
pub(crate) fn with_third_data_centre(plan: &mut Plan) {
    let third = manifest().data_centres.pop().unwrap();
    let name: DataCentreName = THIRD.into();
    plan.manifest.data_centres.push(DataCentre {
        name: name.clone(),
        ..third
    });
    let service = &mut plan.manifest.services[0];
    let others = service.upstreams.iter().rev().take(2).cloned();
    let own = others
        .zip(["cal-c1", "cal-c2"])
        .map(|(other, own)| Upstream {
            name: own.into(),
            data_centre: name.clone(),
            ..other
        });
    let own: Vec<Upstream> = own.collect();
    service.upstreams.extend(own);
}

/// The manifest that most tests begin with.
fn manifest() -> Manifest {
    Manifest::from_yaml(MANIFEST).unwrap()
}

/// A cluster of two data centres with two daemons each.
pub(crate) struct Bench {
    pub(crate) cluster: Cluster,
    start: Instant,
    _permit: SemaphorePermit<'static>,
}

/// A leader and its standby.
pub(crate) struct Pair<'a> {
    pub(crate) leader: &'a Node,
    pub(crate) standby: &'a Node,
}

/// Load that is offered until it is ended.
pub(crate) struct Load {
    ends: Arc<AtomicBool>,
    running: JoinHandle<Vec<load::Result>>,
}

impl Bench {
    /// Starts a cluster and waits until it serves every shard.
    pub(crate) async fn start() -> Self {
        Self::start_with(|_| {}).await
    }

    /// Starts a cluster with fault proxies before the daemons and the platform.
    pub(crate) async fn start_proxied() -> Self {
        Self::start_with(|plan| plan.is_proxied = true).await
    }

    /// Starts a cluster with fault proxies, and with more daemons in its one data centre than read the
    /// log themselves.
    pub(crate) async fn start_crowded() -> Self {
        Self::start_with(|plan| {
            plan.is_proxied = true;
            plan.daemons = 2 * READERS_PER_DATA_CENTRE;
            plan.manifest.data_centres.truncate(1);
            for service in &mut plan.manifest.services {
                let is_here = |upstream: &Upstream| &*upstream.data_centre == HERE;
                service.upstreams.retain(is_here);
            }
        })
        .await
    }

    /// Starts a cluster whose servers may be at a request for long.
    pub(crate) async fn start_patient() -> Self {
        Self::start_with(|plan| {
            for service in &mut plan.manifest.services {
                service.limits.silence = PATIENCE;
                service.limits.deadline = PATIENCE;
            }
        })
        .await
    }

    /// Starts a cluster as planned, but for what is changed.
    pub(crate) async fn start_with(change: impl FnOnce(&mut Plan)) -> Self {
        let permit = CLUSTERS.acquire().await.unwrap();
        let manifest = manifest();
        let names = manifest
            .services
            .iter()
            .map(|service| service.name.to_string());
        let service_times: HashMap<String, Duration> =
            names.map(|name| (name, SERVICE_TIME)).collect();
        let mut plan = Plan {
            manifest,
            daemons: 2,
            launch: Launch::Program(PathBuf::from(env!("CARGO_BIN_EXE_copperwelld"))),
            is_proxied: false,
            proxies_servers: false,
            service_times,
        };
        change(&mut plan);
        let cluster = Cluster::start(plan).await.unwrap();
        cluster.wait_ready().await.unwrap();
        Self {
            cluster,
            start: Instant::now(),
            _permit: permit,
        }
    }

    /// Offers load to the daemons that the balancer knows.
    pub(crate) fn load(&self) -> Load {
        Load::start(self.cluster.entries.clone())
    }

    /// Waits until every shard answers through every daemon that the balancer knows.
    pub(crate) async fn serves(&self) {
        for node in &self.cluster.nodes {
            self.serves_through(node).await;
        }
    }

    /// Waits until every shard answers through one daemon.
    pub(crate) async fn serves_through(&self, node: &Node) {
        let entries = Entries::new(vec![node.addresses.callers]);
        if let Err(error) = self.cluster.wait_served(&entries).await {
            panic!("through {}: {error}", node.name);
        }
    }

    /// Waits until the shards of each data centre answer through each of its daemons.
    pub(crate) async fn serves_apart(&self) {
        for node in &self.cluster.nodes {
            let entries = Entries::new(vec![node.addresses.callers]);
            let own = |group: &GroupId| group.data_centre == node.data_centre;
            let served = self.cluster.wait_groups_served(own, &entries).await;
            if let Err(error) = served {
                panic!("through {}: {error}", node.name);
            }
        }
    }

    /// Takes the platform's log away, and waits until every daemon knows.
    pub(crate) async fn lose_log(&self) {
        self.cluster.platform.set_down(true);
        self.wait_log(LogState::Away).await;
    }

    /// Brings the platform's log back, and waits until every daemon follows it.
    pub(crate) async fn regain_log(&self) {
        self.cluster.platform.set_down(false);
        self.wait_log(LogState::Current).await;
    }

    /// Waits until every daemon stands to the log in a given way.
    pub(crate) async fn wait_log(&self, state: LogState) {
        for node in &self.cluster.nodes {
            self.wait_status("the log", node, |status| status.log.state == state)
                .await;
        }
    }

    /// Waits until every daemon sees all others alive, and names those that read the log.
    pub(crate) async fn readers(&self) -> Vec<String> {
        let nodes = &self.cluster.nodes;
        let sees_all = |status: &Status| {
            let live = status.members.iter().filter(|seen| seen.reachable);
            live.count() == nodes.len()
        };
        for node in nodes {
            self.wait_status("all others", node, sees_all).await;
        }
        let status = cluster::status(nodes[0].addresses.admin).await.unwrap();
        let members: Vec<&Member> = status.members.iter().map(|seen| &seen.member).collect();
        let reads = |member: &&&Member| {
            let readers = Readers::new((**member).clone());
            readers.is_reader(Instant::now(), &members)
        };
        let readers = members.iter().filter(reads);
        readers.map(|member| member.name.to_string()).collect()
    }

    /// Publishes a change, and waits until it is in force in every daemon.
    pub(crate) async fn publish(&mut self) {
        let version = self.cluster.manifest.version();
        self.cluster.manifest.replaces = version;
        self.cluster.manifest.services[0].limits.queue += 1;
        self.cluster.publish().await.unwrap();
        for node in &self.cluster.nodes {
            self.wait_status("the manifest", node, |status| status.manifest > version)
                .await;
        }
    }

    /// The leader of the group in which faults strike, and the other daemon of its data centre.
    pub(crate) async fn pair(&self) -> Pair<'_> {
        let leader = self.leader(GROUP).await;
        let mut nodes = self.cluster.nodes.iter();
        let standby = nodes.find(|node| &*node.data_centre == HERE && *node.name != *leader);
        Pair {
            leader: self.cluster.node(&leader).unwrap(),
            standby: standby.unwrap(),
        }
    }

    /// Waits until some daemon leads the group, and names it.
    pub(crate) async fn leader(&self, group: &str) -> String {
        let until = Instant::now() + CONDITION_TIME;
        loop {
            if let Some(leader) = self.cluster.leader_of(group).await {
                return leader;
            }
            assert!(Instant::now() < until, "nobody leads {group}");
            sleep(LOOK).await;
        }
    }

    /// Waits until a daemon other than `old` leads the group, and names it.
    pub(crate) async fn new_leader(&self, group: &str, old: &str) -> String {
        let until = Instant::now() + CONDITION_TIME;
        loop {
            for node in &self.cluster.nodes {
                if &*node.name != old && leads(node, group).await {
                    return node.name.to_string();
                }
            }
            assert!(Instant::now() < until, "nobody but {old} leads {group}");
            sleep(LOOK).await;
        }
    }

    /// Waits until some daemon stands by for the group.
    pub(crate) async fn wait_standby(&self, group: &str) {
        let until = Instant::now() + CONDITION_TIME;
        loop {
            for node in &self.cluster.nodes {
                let status = cluster::status(node.addresses.admin).await;
                if status.is_some_and(|status| has_role(&status, group, Role::Standby)) {
                    return;
                }
            }
            assert!(Instant::now() < until, "nobody stands by for {group}");
            sleep(LOOK).await;
        }
    }

    /// Waits until a daemon's status fulfils a condition.
    pub(crate) async fn wait_status(
        &self,
        what: &str,
        node: &Node,
        condition: impl Fn(&Status) -> bool,
    ) {
        let until = Instant::now() + CONDITION_TIME;
        loop {
            let status = cluster::status(node.addresses.admin).await;
            if status.as_ref().is_some_and(&condition) {
                return;
            }
            assert!(
                Instant::now() < until,
                "{} never: {what}; {status:?}",
                node.name
            );
            sleep(LOOK).await;
        }
    }

    /// Waits until a condition on the cluster holds.
    pub(crate) async fn wait(&self, what: &str, condition: impl Fn(&Cluster) -> bool) {
        let cluster = &self.cluster;
        cluster.wait(what, || condition(cluster)).await.unwrap();
    }

    /// Waits until no shard is held by a server.
    pub(crate) async fn wait_lost(&self, server: &str) {
        let cluster = &self.cluster;
        let condition = || cluster.held_by_others(server) >= cluster.shards();
        let waited = cluster
            .wait("the lost server's shards have others", condition)
            .await;
        if let Err(error) = waited {
            panic!("{error}\n{}", self.statuses().await);
        }
    }

    /// What every daemon says of itself, for the message of a failed test.
    async fn statuses(&self) -> String {
        let mut lines = String::new();
        for node in &self.cluster.nodes {
            let status = cluster::status(node.addresses.admin).await;
            lines.push_str(&format!("{}: {status:?}\n", node.name));
        }
        lines
    }

    /// A daemon that does not lead the group.
    pub(crate) async fn ingress(&self, group: &str) -> &Node {
        let leader = self.leader(group).await;
        let mut nodes = self.cluster.nodes.iter();
        nodes.find(|node| *node.name != *leader).unwrap()
    }

    /// Waits until a server of the data centre runs a request.
    pub(crate) async fn wait_running(&self, data_centre: &str) {
        self.wait("a request runs", |cluster| {
            let services = cluster.manifest.services.iter();
            let upstreams = services.flat_map(|service| &service.upstreams);
            let mut own = upstreams.filter(|upstream| &*upstream.data_centre == data_centre);
            own.any(|upstream| cluster.servers[&*upstream.name].counts().running > 0)
        })
        .await;
    }

    /// Waits until a daemon finds another one unreachable.
    pub(crate) async fn wait_unreachable(&self, node: &Node, other: &str) {
        self.wait_status("it misses the other", node, |status| {
            is_unreachable(status, other)
        })
        .await;
    }

    /// Waits until a data centre's daemons miss the log and the other data centres.
    pub(crate) async fn wait_cut(&self, data_centre: &str) {
        let nodes = || self.cluster.nodes.iter();
        for node in nodes().filter(|node| &*node.data_centre == data_centre) {
            self.wait_status("the log", node, |status| status.log.state == LogState::Away)
                .await;
            for other in nodes().filter(|other| &*other.data_centre != data_centre) {
                self.wait_unreachable(node, &other.name).await;
                self.wait_unreachable(other, &node.name).await;
            }
        }
    }

    /// Ends a daemon at once, which the balancer notices.
    pub(crate) fn kill(&mut self, name: &str) -> Node {
        let mut node = self.cluster.take_node(name);
        node.kill();
        node
    }

    /// Changes of owner since the cluster served every shard.
    pub(crate) fn moves(&self) -> Vec<Move> {
        let moves = self.cluster.record.moves().into_iter();
        moves.filter(|moved| moved.at >= self.start).collect()
    }

    /// Ends the load and checks the promises.
    pub(crate) async fn check(&self, load: Load) -> Vec<load::Result> {
        let results = load.end().await;
        self.wait("nothing runs any more", |cluster| {
            let mut servers = cluster.servers.values();
            servers.all(|server| server.counts().running == 0)
        })
        .await;
        self.check_results(&results);
        results
    }

    /// Checks the promises for what callers got.
    pub(crate) fn check_results(&self, results: &[load::Result]) {
        self.check_record();
        let record = &self.cluster.record;
        let summary = measure::summary(results, record, &self.cluster.manifest, self.start);
        assert_eq!(summary.wrong_answers, 0, "{summary:?}");
        assert_eq!(summary.false_not_run, 0, "{summary:?}");
        assert!(summary.done > 0, "{summary:?}");
    }

    /// Checks the promises for what servers held and ran.
    pub(crate) fn check_record(&self) {
        let record = &self.cluster.record;
        assert_eq!(record.lost(), 0);
        assert_eq!(record.overlaps(), []);
        assert_eq!(record.twice_run(), Vec::<String>::new());
    }
}

impl Load {
    /// Offers load to these daemons.
    pub(crate) fn start(entries: Entries) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let running = tokio::spawn(offer(entries, ends.clone()));
        Self { ends, running }
    }

    /// Ends the load and waits for the answers.
    pub(crate) async fn end(self) -> Vec<load::Result> {
        self.ends.store(true, Ordering::Release);
        self.running.await.unwrap()
    }
}

/// Whether a daemon says that it leads a group.
pub(crate) async fn leads(node: &Node, group: &str) -> bool {
    let status = cluster::status(node.addresses.admin).await;
    status.is_some_and(|status| has_role(&status, group, Role::Leader))
}

/// Whether a daemon has a role in a group by its status.
pub(crate) fn has_role(status: &Status, group: &str, role: Role) -> bool {
    let mut groups = status.groups.iter();
    groups.any(|held| held.role == role && held.group.to_string() == group)
}

/// Whether a daemon wants callers' requests.
pub(crate) async fn is_ready(node: &Node) -> bool {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{}/readyz", node.addresses.admin);
    let asked = client.get(uri.parse().unwrap()).await;
    asked.is_ok_and(|response| response.status() == StatusCode::OK)
}

fn is_unreachable(status: &Status, daemon: &str) -> bool {
    let mut members = status.members.iter();
    members.any(|seen| &*seen.member.name == daemon && !seen.reachable)
}

/// Offers piece after piece; the callers of every other one send again what has no answer.
async fn offer(entries: Entries, ends: Arc<AtomicBool>) -> Vec<load::Result> {
    let mut pieces = JoinSet::new();
    let mut ticks = interval(PIECE);
    let mut seed = LOADS.fetch_add(1, Ordering::Relaxed) * LOAD_SEEDS;
    while !ends.load(Ordering::Acquire) {
        ticks.tick().await;
        seed += 1;
        let mut offers = schedule::offers(&piece(), seed);
        for offer in &mut offers {
            // Every shard gets the same load, so that balance moves none.
            let index = u32::try_from(offer.number % u64::from(SHARDS)).unwrap();
            offer.key = probe::key_of(index, SHARDS);
            offer.number += seed * PIECE_NUMBERS;
        }
        let caller = Caller {
            deadline: Duration::from_secs(2),
            resends: if seed.is_multiple_of(2) { 2 } else { 0 },
        };
        pieces.spawn(load::run(offers, entries.clone(), caller));
    }
    pieces.join_all().await.into_iter().flatten().collect()
}

fn piece() -> Scenario {
    Scenario {
        name: "piece".to_owned(),
        user: User::Abraziv,
        duration: PIECE,
        daemons: 2,
        load: vec![scenario::Load {
            service: "calendar".to_owned(),
            rate: RATE,
            keys: 200,
            skew: 0.0,
            hot_keys_change: None,
            once: 0.5,
            service_time: SERVICE_TIME,
            burst: None,
        }],
        faults: Vec::new(),
    }
}

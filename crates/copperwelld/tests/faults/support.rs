//! A cluster of processes under load, checked against the servers' records.

use std::{path::PathBuf, time::Duration};

use bytes::Bytes;
use copperwell_keyspace::{
    DataCentreName, GroupId, HashMap, Member,
    manifest::{DataCentre, Manifest, Upstream},
};
use copperwell_operator::status::{LogState, Role, Status};
use copperwell_policy::readers::{READERS_PER_DATA_CENTRE, Readers};
use copperwell_rig::{
    cluster::{self, Cluster, Plan},
    load::{self, Entries},
    measure,
    node::{Launch, Node},
};
use copperwell_standin::backend::record::Move;
use http::StatusCode;
use http_body_util::Empty;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    time::{Instant, sleep},
};

pub(crate) use offer::Load;

mod offer;

/// Limits the number of concurrent clusters.
static CLUSTER_PERMITS: Semaphore = Semaphore::const_new(3);

/// The timeout for a condition, which allows for slow machines.
pub(crate) const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval between checks of a condition.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// The timeout for requests that must not time out.
pub(crate) const LONG_TIMEOUT: Duration = Duration::from_secs(60);

/// The data centre in which faults are injected.
pub(crate) const DATA_CENTRE: &str = "ro-nord-a";

/// The group in which faults are injected.
pub(crate) const GROUP: &str = "calendar/ro-nord-a/0";

/// The group of the other data centre.
pub(crate) const OTHER_GROUP: &str = "calendar/ro-nord-b/0";

/// The data centre that only some tests add.
const THIRD_DATA_CENTRE: &str = "ro-nord-c";

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
    let name: DataCentreName = THIRD_DATA_CENTRE.into();
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

/// Returns the initial manifest of most tests.
fn manifest() -> Manifest {
    Manifest::from_yaml(MANIFEST).unwrap()
}

/// A cluster of two data centres with two daemons each.
pub(crate) struct Harness {
    pub(crate) cluster: Cluster,
    start: Instant,
    _permit: SemaphorePermit<'static>,
}

/// A leader and its standby.
pub(crate) struct Pair<'a> {
    pub(crate) leader: &'a Node,
    pub(crate) standby: &'a Node,
}

impl Harness {
    /// Starts a cluster and waits until it serves every shard.
    pub(crate) async fn start() -> Self {
        Self::start_with(|_| {}).await
    }

    /// Starts a cluster with fault proxies in front of the daemons and the platform.
    pub(crate) async fn start_proxied() -> Self {
        Self::start_with(|plan| plan.is_proxied = true).await
    }

    /// Starts a cluster of one data centre with fault proxies, in which only some of the daemons
    /// read the log themselves.
    pub(crate) async fn start_with_many_daemons() -> Self {
        Self::start_with(|plan| {
            plan.is_proxied = true;
            plan.daemons = 2 * READERS_PER_DATA_CENTRE;
            plan.manifest.data_centres.truncate(1);
            for service in &mut plan.manifest.services {
                let is_local = |upstream: &Upstream| &*upstream.data_centre == DATA_CENTRE;
                service.upstreams.retain(is_local);
            }
        })
        .await
    }

    /// Starts a cluster whose timeouts allow for long service times.
    pub(crate) async fn start_with_long_timeouts() -> Self {
        Self::start_with(|plan| {
            for service in &mut plan.manifest.services {
                service.limits.silence = LONG_TIMEOUT;
                service.limits.deadline = LONG_TIMEOUT;
            }
        })
        .await
    }

    /// Starts a cluster with changes to the default plan.
    pub(crate) async fn start_with(change: impl FnOnce(&mut Plan)) -> Self {
        let permit = CLUSTER_PERMITS.acquire().await.unwrap();
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

    /// Starts a load on the daemons that the load balancer knows.
    pub(crate) fn load(&self) -> Load {
        Load::start(self.cluster.entries.clone())
    }

    /// Waits until every shard is served through every daemon that the load balancer knows.
    pub(crate) async fn wait_served(&self) {
        for node in &self.cluster.nodes {
            self.wait_served_through(node).await;
        }
    }

    /// Waits until every shard is served through one daemon.
    pub(crate) async fn wait_served_through(&self, node: &Node) {
        let entries = Entries::new(vec![node.addresses.callers]);
        if let Err(error) = self.cluster.wait_served(&entries).await {
            panic!("through {}: {error}", node.name);
        }
    }

    /// Waits until the shards of each data centre are served through each of its daemons.
    pub(crate) async fn wait_data_centres_served(&self) {
        for node in &self.cluster.nodes {
            let entries = Entries::new(vec![node.addresses.callers]);
            let is_own = |group: &GroupId| group.data_centre == node.data_centre;
            let served = self.cluster.wait_groups_served(is_own, &entries).await;
            if let Err(error) = served {
                panic!("through {}: {error}", node.name);
            }
        }
    }

    /// Stops the platform's log and waits until every daemon has detected it.
    pub(crate) async fn stop_log(&self) {
        self.cluster.platform.set_down(true);
        self.wait_log(LogState::Away).await;
    }

    /// Restores the platform's log and waits until every daemon has caught up.
    pub(crate) async fn restore_log(&self) {
        self.cluster.platform.set_down(false);
        self.wait_log(LogState::Current).await;
    }

    /// Waits until every daemon reports this state of the log.
    pub(crate) async fn wait_log(&self, state: LogState) {
        for node in &self.cluster.nodes {
            self.wait_status("the log", node, |status| status.log.state == state)
                .await;
        }
    }

    /// Waits until every daemon sees all others alive, and returns the names of those that read the
    /// log.
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

    /// Publishes a changed manifest and waits until it is in force in every daemon.
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

    /// Returns the leader of [`GROUP`] and the other daemon of its data centre.
    pub(crate) async fn pair(&self) -> Pair<'_> {
        let leader = self.leader(GROUP).await;
        let mut nodes = self.cluster.nodes.iter();
        let standby = nodes.find(|node| &*node.data_centre == DATA_CENTRE && *node.name != *leader);
        Pair {
            leader: self.cluster.node(&leader).unwrap(),
            standby: standby.unwrap(),
        }
    }

    /// Waits until a daemon leads the group, and returns its name.
    pub(crate) async fn leader(&self, group: &str) -> String {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        loop {
            if let Some(leader) = self.cluster.leader_of(group).await {
                return leader;
            }
            assert!(Instant::now() < deadline, "no daemon leads {group}");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a daemon other than `old` leads the group, and returns its name.
    pub(crate) async fn new_leader(&self, group: &str, old: &str) -> String {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        loop {
            for node in &self.cluster.nodes {
                if &*node.name != old && leads(node, group).await {
                    return node.name.to_string();
                }
            }
            assert!(
                Instant::now() < deadline,
                "no daemon other than {old} leads {group}"
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a daemon stands by for the group.
    pub(crate) async fn wait_standby(&self, group: &str) {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        loop {
            for node in &self.cluster.nodes {
                let status = cluster::status(node.addresses.admin).await;
                if status.is_some_and(|status| has_role(&status, group, Role::Standby)) {
                    return;
                }
            }
            assert!(Instant::now() < deadline, "no daemon stands by for {group}");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a daemon's status fulfils a condition.
    pub(crate) async fn wait_status(
        &self,
        what: &str,
        node: &Node,
        condition: impl Fn(&Status) -> bool,
    ) {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        loop {
            let status = cluster::status(node.addresses.admin).await;
            if status.as_ref().is_some_and(&condition) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "timeout at {}: {what}; {status:?}",
                node.name
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a condition on the cluster holds.
    pub(crate) async fn wait(&self, what: &str, condition: impl Fn(&Cluster) -> bool) {
        let cluster = &self.cluster;
        cluster.wait(what, || condition(cluster)).await.unwrap();
    }

    /// Waits until other servers hold all shards of a lost server.
    pub(crate) async fn wait_lost(&self, server: &str) {
        let cluster = &self.cluster;
        let condition = || cluster.held_by_others(server) >= cluster.shards();
        let result = cluster
            .wait("other servers hold the lost server's shards", condition)
            .await;
        if let Err(error) = result {
            panic!("{error}\n{}", self.statuses().await);
        }
    }

    /// Returns the status of every daemon, for the message of a failed test.
    async fn statuses(&self) -> String {
        let mut lines = String::new();
        for node in &self.cluster.nodes {
            let status = cluster::status(node.addresses.admin).await;
            lines.push_str(&format!("{}: {status:?}\n", node.name));
        }
        lines
    }

    /// Returns a daemon that does not lead the group.
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

    /// Waits until a daemon reports another one as unreachable.
    pub(crate) async fn wait_unreachable(&self, node: &Node, other: &str) {
        self.wait_status("the other daemon is unreachable", node, |status| {
            is_unreachable(status, other)
        })
        .await;
    }

    /// Waits until a data centre's daemons have lost the log and the other data centres.
    pub(crate) async fn wait_partitioned(&self, data_centre: &str) {
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

    /// Kills a daemon and removes it from the load balancer.
    pub(crate) fn kill(&mut self, name: &str) -> Node {
        let mut node = self.cluster.take_node(name);
        node.kill();
        node
    }

    /// Returns the changes of owner since the cluster first served every shard.
    pub(crate) fn moves(&self) -> Vec<Move> {
        let moves = self.cluster.record.moves().into_iter();
        moves.filter(|moved| moved.at >= self.start).collect()
    }

    /// Ends the load and checks the guarantees.
    pub(crate) async fn end_load_and_check(&self, load: Load) -> Vec<load::Result> {
        let results = load.end().await;
        self.wait("no request runs", |cluster| {
            let mut servers = cluster.servers.values();
            servers.all(|server| server.counts().running == 0)
        })
        .await;
        self.check_results(&results);
        results
    }

    /// Checks the guarantees against the callers' results and the servers' records.
    pub(crate) fn check_results(&self, results: &[load::Result]) {
        self.check_record();
        let record = &self.cluster.record;
        let summary = measure::summary(results, record, &self.cluster.manifest, self.start);
        assert_eq!(summary.wrong_answers, 0, "{summary:?}");
        assert_eq!(summary.false_not_run, 0, "{summary:?}");
        assert!(summary.done > 0, "{summary:?}");
    }

    /// Checks the guarantees against the servers' records.
    pub(crate) fn check_record(&self) {
        let record = &self.cluster.record;
        assert_eq!(record.lost(), 0);
        assert_eq!(record.overlaps(), []);
        assert_eq!(record.twice_run(), Vec::<String>::new());
    }
}

/// Returns whether a daemon reports that it leads a group.
pub(crate) async fn leads(node: &Node, group: &str) -> bool {
    let status = cluster::status(node.addresses.admin).await;
    status.is_some_and(|status| has_role(&status, group, Role::Leader))
}

/// Returns whether a status reports a role in a group.
pub(crate) fn has_role(status: &Status, group: &str, role: Role) -> bool {
    let mut groups = status.groups.iter();
    groups.any(|reported| reported.role == role && reported.group.to_string() == group)
}

/// Returns whether a daemon accepts callers' requests.
pub(crate) async fn is_ready(node: &Node) -> bool {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{}/readyz", node.addresses.admin);
    let result = client.get(uri.parse().unwrap()).await;
    result.is_ok_and(|response| response.status() == StatusCode::OK)
}

fn is_unreachable(status: &Status, daemon: &str) -> bool {
    let mut members = status.members.iter();
    members.any(|seen| &*seen.member.name == daemon && !seen.reachable)
}

//! A cluster of processes under load, checked by the servers' own record.

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use copperwell_keyspace::{HashMap, manifest::Manifest};
use copperwell_operator::status::{Role, Status};
use copperwell_rig::{
    cluster::{self, Cluster, Plan},
    load::{self, Caller, Entries},
    measure,
    node::{Launch, Node},
    scenario::{self, Scenario, User},
    schedule,
};
use copperwell_standin::backend::record::Move;
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    task::{JoinHandle, JoinSet},
    time::{Instant, interval, sleep},
};

/// Clusters that run at a time.
static CLUSTERS: Semaphore = Semaphore::const_new(2);

/// Time in which a condition must come to hold, however slow the machine is.
const CONDITION_TIME: Duration = Duration::from_secs(60);

/// How often conditions are looked at.
const LOOK: Duration = Duration::from_millis(20);

/// The length of one piece of the load.
const PIECE: Duration = Duration::from_millis(500);

/// Numbers of offers that are kept for one piece of the load.
const PIECE_NUMBERS: u64 = 1 << 20;

/// Requests per second to each service.
const RATE: f64 = 100.0;

/// How long a request runs at its server.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// The group in which faults strike.
pub(crate) const GROUP: &str = "calendar/ro-nord-a/0";

const MANIFEST: &str = "
replaces: 0
data_centres:
  - { name: ro-nord-a, region: ro-nord }
  - { name: ro-nord-b, region: ro-nord }
services:
  - name: calendar
    class: interactive
    shards: 16
    upstreams:
      - { name: cal-a1, data_centre: ro-nord-a, address: '127.0.0.1:1', slots: 2, connections: 130 }
      - { name: cal-a2, data_centre: ro-nord-a, address: '127.0.0.1:2', slots: 2, connections: 130 }
      - { name: cal-b1, data_centre: ro-nord-b, address: '127.0.0.1:3', slots: 2, connections: 130 }
      - { name: cal-b2, data_centre: ro-nord-b, address: '127.0.0.1:4', slots: 2, connections: 130 }
";

/// The manifest that most tests begin with.
pub(crate) fn manifest() -> Manifest {
    Manifest::from_yaml(MANIFEST).unwrap()
}

/// A cluster of two data centres with two daemons each.
pub(crate) struct Bench {
    pub(crate) cluster: Cluster,
    start: Instant,
    _permit: SemaphorePermit<'static>,
}

/// Load that is offered until it is ended.
pub(crate) struct Load {
    ends: Arc<AtomicBool>,
    running: JoinHandle<Vec<load::Result>>,
}

impl Bench {
    /// Starts a cluster and waits until it serves every shard.
    pub(crate) async fn start() -> Self {
        Self::start_with(SERVICE_TIME, false).await
    }

    /// Starts a cluster whose requests run for a given time.
    pub(crate) async fn start_with(service_time: Duration, is_proxied: bool) -> Self {
        let permit = CLUSTERS.acquire().await.unwrap();
        let manifest = manifest();
        let names = manifest
            .services
            .iter()
            .map(|service| service.name.to_string());
        let service_times: HashMap<String, Duration> =
            names.map(|name| (name, service_time)).collect();
        let plan = Plan {
            manifest,
            daemons: 2,
            launch: Launch::Program(PathBuf::from(env!("CARGO_BIN_EXE_copperwelld"))),
            is_proxied,
            service_times,
        };
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

    /// Waits until a condition on the cluster holds.
    pub(crate) async fn wait(&self, what: &str, condition: impl Fn(&Cluster) -> bool) {
        let cluster = &self.cluster;
        cluster.wait(what, || condition(cluster)).await.unwrap();
    }

    /// Waits until no shard is held by a server.
    pub(crate) async fn wait_lost(&self, server: &str) {
        self.wait("the lost server's shards have others", |cluster| {
            cluster.held_by_others(server) >= cluster.shards()
        })
        .await;
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
        let record = &self.cluster.record;
        assert_eq!(record.lost(), 0);
        assert_eq!(record.overlaps(), []);
        assert_eq!(record.twice_run(), Vec::<String>::new());
        let summary = measure::summary(results, record, &self.cluster.manifest, self.start);
        assert_eq!(summary.wrong_answers, 0, "{summary:?}");
        assert_eq!(summary.false_not_run, 0, "{summary:?}");
        assert!(summary.done > 0, "{summary:?}");
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
    status.is_some_and(|status| is_leader(&status, group))
}

/// Whether a daemon leads a group by its status.
pub(crate) fn is_leader(status: &Status, group: &str) -> bool {
    let mut groups = status.groups.iter();
    groups.any(|held| held.role == Role::Leader && held.group.to_string() == group)
}

/// Offers piece after piece; the callers of every other one send again what has no answer.
async fn offer(entries: Entries, ends: Arc<AtomicBool>) -> Vec<load::Result> {
    let mut pieces = JoinSet::new();
    let mut ticks = interval(PIECE);
    let mut seed = 0;
    while !ends.load(Ordering::Acquire) {
        ticks.tick().await;
        seed += 1;
        let mut offers = schedule::offers(&piece(), seed);
        for offer in &mut offers {
            offer.number += seed * PIECE_NUMBERS;
        }
        let caller = Caller {
            deadline: Duration::from_secs(2),
            resends: if seed % 2 == 0 { 2 } else { 0 },
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

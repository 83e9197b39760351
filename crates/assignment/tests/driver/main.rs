//! Daemons that lead and follow, with a store in memory.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use copperwell_assignment::{
    clock::Simulated,
    driver::{Driver, Environment, Identity, Timing},
    exchange::Server,
    metrics::Metrics,
    order::{Action, Order, Outcome, Sender, Timeouts},
    register::{Failure, Position, Register, Snapshot, position},
    shared::Shared,
    store_state::{Delta, ListVersion, Newest},
};
use copperwell_routing::{
    Incarnation, Key, ServiceName, UpstreamId, evacuation::Evacuations, registry::Upstream,
};
use test_case::test_case;
use tokio::{
    net::TcpListener,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use forwarder::Forwarder;

mod forwarder;

/// The duration of a call to the store.
const CALL: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Store {
    snapshot: Arc<Mutex<Snapshot>>,
    is_unreachable: AtomicBool,
    calls: AtomicUsize,
}

impl Store {
    async fn call(&self) -> Result<(), Failure> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        sleep(CALL).await;
        match self.is_unreachable.load(Ordering::Relaxed) {
            true => Err(Failure::NotDone),
            false => Ok(()),
        }
    }

    fn calls(&self) -> usize {
        self.calls.swap(0, Ordering::Relaxed)
    }

    /// Returns the same store with counters of its own.
    fn for_another_daemon(&self) -> Arc<Self> {
        Arc::new(Self {
            snapshot: self.snapshot.clone(),
            ..Self::default()
        })
    }
}

impl Register for Store {
    async fn read(&self) -> Result<Snapshot, Failure> {
        self.call().await?;
        Ok(self.snapshot.lock().unwrap().clone())
    }

    async fn compare_and_swap(
        &self,
        at: Position,
        entries: &[(String, Vec<u8>)],
    ) -> Result<Position, Failure> {
        self.call().await?;
        let mut snapshot = self.snapshot.lock().unwrap();
        if snapshot.end != at {
            return Err(Failure::Conflict);
        }
        snapshot.entries.extend(entries.iter().cloned());
        snapshot.end += entries.len() as u64;
        Ok(snapshot.end)
    }
}

/// Upstreams that carry out every order.
#[derive(Default)]
struct Servers {
    orders: AtomicUsize,
    /// The duration of the last grant of each range, by its first key.
    durations: Mutex<BTreeMap<Key, Duration>>,
}

impl Sender for Servers {
    async fn send(&self, order: &Order, _: Timeouts) -> Outcome {
        if let Action::Grant { hold, .. } = order.action {
            self.durations.lock().unwrap().insert(order.first, hold);
        }
        self.orders.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(1)).await;
        Outcome::Done { handover: None }
    }
}

struct FakeEnvironment {
    upstreams: Mutex<Vec<Arc<Upstream>>>,
    steps: AtomicUsize,
    is_list_late: AtomicBool,
}

impl Environment for FakeEnvironment {
    fn keyed_services(&self) -> Option<Vec<ServiceName>> {
        Some(vec!["cups".into()])
    }

    fn upstreams(&self, _: &str) -> Vec<Arc<Upstream>> {
        self.steps.fetch_add(1, Ordering::Relaxed);
        self.upstreams.lock().unwrap().clone()
    }

    fn all_upstreams(&self) -> Vec<Arc<Upstream>> {
        self.upstreams.lock().unwrap().clone()
    }

    fn list_read_at(&self) -> Option<Duration> {
        Some(Duration::from_millis(1))
    }

    fn versions(&self) -> (u64, ListVersion) {
        (1, ListVersion::default())
    }

    fn apply_update(&self, _: Delta) {}

    fn apply_evacuations(&self, _: &Evacuations) {}

    fn is_leader_late(&self) -> bool {
        false
    }

    fn record_successor(&self, _: Option<Newest>) {}

    fn is_list_late(&self) -> bool {
        self.is_list_late.load(Ordering::Relaxed)
    }

    fn known_list(&self) -> ListVersion {
        ListVersion::default()
    }

    fn apply_successor_list(&self, _: Delta) -> bool {
        false
    }

    fn record_successors_asked(&self) {}

    fn record_leaving(&self, _: &UpstreamId, _: Incarnation) {}

    fn record_broken(&self, _: &UpstreamId) {}

    fn record_unanswered(&self, _: &UpstreamId, _: Instant) {}

    fn record_order_answer(&self, _: &UpstreamId) {}

    fn record_unconnected(&self, _: &UpstreamId) {}

    fn record_transfer(&self) {}

    fn apply_difference(&self, _: &[u8]) -> bool {
        false
    }
}

struct Daemon {
    address: SocketAddr,
    shared: Shared,
    server: Server,
    servers: Arc<Servers>,
    environment: Arc<FakeEnvironment>,
    clock: Arc<Simulated>,
    stopping: CancellationToken,
    task: JoinHandle<()>,
}

fn upstreams(count: u16) -> Vec<Arc<Upstream>> {
    let one = |number: u16| Upstream {
        id: format!("u{number}").into(),
        born: 1,
        service: "cups".into(),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        zone: "here".into(),
        slots: 2,
        is_draining: false,
        warmup: Duration::ZERO,
    };
    (0..count).map(|number| Arc::new(one(number))).collect()
}

impl Daemon {
    fn start(name: &str, run: u64, store: &Arc<Store>) -> Self {
        Self::start_with(name, run, store, 200)
    }

    fn start_with(name: &str, run: u64, store: &Arc<Store>, strength: u32) -> Self {
        let port = 20_000 + 2 * u16::try_from(run).unwrap();
        Self::start_at(([127, 0, 0, 1], port).into(), name, run, store, strength)
    }

    fn start_at(
        address: SocketAddr,
        name: &str,
        run: u64,
        store: &Arc<Store>,
        strength: u32,
    ) -> Self {
        let shared = Shared::new(run);
        let servers = Arc::new(Servers::default());
        let environment = Arc::new(FakeEnvironment {
            upstreams: Mutex::new(upstreams(3)),
            steps: AtomicUsize::new(0),
            is_list_late: AtomicBool::new(false),
        });
        let clock = Arc::new(Simulated::default());
        let (server, reports) = Server::new(&shared);
        let driver = Driver {
            identity: Identity {
                name: name.into(),
                run,
                address,
                helper_address: address,
                zone: "here".into(),
                strength,
                is_first_start: false,
            },
            timing: Timing::default(),
            register: store.clone(),
            sender: servers.clone(),
            clock: clock.clone(),
            environment: environment.clone(),
            shared: shared.clone(),
            server: server.clone(),
            metrics: Metrics::default(),
        };
        let stopping = CancellationToken::new();
        let task = tokio::spawn(driver.run(reports, stopping.clone()));
        Self {
            address,
            shared,
            server,
            servers,
            environment,
            clock,
            stopping,
            task,
        }
    }

    /// Starts a daemon that others can call, at a port of its own.
    async fn start_listening(name: &str, run: u64, store: &Arc<Store>, strength: u32) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let daemon = Self::start_at(address, name, run, store, strength);
        tokio::spawn(daemon.server.clone().serve(listener));
        daemon
    }

    fn has_all_keys_served(&self) -> bool {
        let routing_tables = &self.shared.routing_tables;
        [0, 30_000, u16::MAX]
            .iter()
            .all(|key| routing_tables.served("cups", *key).is_some())
    }

    fn orders(&self) -> usize {
        self.servers.orders.swap(0, Ordering::Relaxed)
    }
}

#[tokio::test(start_paused = true)]
async fn an_idle_leader_writes_little() {
    let store = Arc::new(Store::default());
    let daemon = Daemon::start("one", 1, &store);
    sleep(Duration::from_secs(6)).await;
    assert!(daemon.has_all_keys_served());
    store.calls();
    sleep(Duration::from_secs(7)).await;
    // The lease is renewed every 700 ms.
    let calls = store.calls();
    assert!((8..=11).contains(&calls), "{calls}");
}

/// The cost of a step grows with ranges and upstreams, so the number of steps must not grow with
/// the orders as well.
#[tokio::test(start_paused = true)]
async fn an_idle_leader_of_many_upstreams_steps_as_rarely_as_one_of_few() {
    let store = Arc::new(Store::default());
    let one = Daemon::start("one", 1, &store);
    *one.environment.upstreams.lock().unwrap() = upstreams(200);
    sleep(Duration::from_secs(10)).await;
    one.environment.steps.store(0, Ordering::Relaxed);
    one.orders();
    sleep(Duration::from_secs(10)).await;
    let steps = one.environment.steps.load(Ordering::Relaxed);
    assert!(steps <= 600, "{steps} steps");
    let orders = one.orders();
    assert!(orders <= 3_000, "{orders} orders");
}

/// The plan cannot be written while the store is unreachable; the attempts must be spaced out.
#[tokio::test(start_paused = true)]
async fn a_leader_limits_its_calls_to_an_unreachable_store() {
    let store = Arc::new(Store::default());
    let daemon = Daemon::start("one", 1, &store);
    sleep(Duration::from_secs(6)).await;
    store.is_unreachable.store(true, Ordering::Relaxed);
    // Some keys need new holders, which must be written first.
    *daemon.environment.upstreams.lock().unwrap() = upstreams(2);
    sleep(Duration::from_secs(1)).await;
    store.calls();
    sleep(Duration::from_secs(5)).await;
    let calls = store.calls();
    assert!(calls <= 55, "{calls} calls");
    store.is_unreachable.store(false, Ordering::Relaxed);
    sleep(Duration::from_secs(12)).await;
    assert!(daemon.has_all_keys_served());
}

/// Grants cannot be renewed while the store is unreachable for longer than the lease lasts, so the
/// last ones have the maximum duration.
#[tokio::test(start_paused = true)]
async fn the_last_grants_before_a_lease_lapses_have_the_maximum_duration() {
    let store = Arc::new(Store::default());
    let daemon = Daemon::start("one", 1, &store);
    sleep(Duration::from_secs(6)).await;
    store.is_unreachable.store(true, Ordering::Relaxed);
    sleep(Duration::from_secs(5)).await;
    let timing = Timing::default().grants;
    let durations = daemon.servers.durations.lock().unwrap().clone();
    assert!(durations.len() > 1);
    for (first, hold) in durations {
        assert_eq!(hold, timing.grant_duration_max, "the range from {first}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_stops_hands_over_at_once() {
    let store = Arc::new(Store::default());
    let first = Daemon::start_with("one", 1, &store, 1_000);
    sleep(Duration::from_secs(6)).await;
    let second = Daemon::start_with("two", 2, &store, 1_000);
    sleep(Duration::from_secs(1)).await;
    first.stopping.cancel();
    sleep(Duration::from_millis(1_200)).await;
    assert!(first.task.is_finished());
    assert!(second.orders() > 0);
    assert!(second.has_all_keys_served());
}

/// Daemons that have just been started know no candidates, and some of them look at the store as the lead becomes free.
#[tokio::test(start_paused = true)]
async fn weak_daemons_that_were_just_started_take_a_free_lead_before_strong_ones_can() {
    let store = Arc::new(Store::default());
    let first = Daemon::start_with("one", 1, &store, 500);
    sleep(Duration::from_secs(6)).await;
    let mut weak = Vec::new();
    for run in 10..34 {
        weak.push(Daemon::start_with(&format!("weak-{run}"), run, &store, 100));
        sleep(Duration::from_millis(20)).await;
    }
    first.stopping.cancel();
    sleep(Duration::from_millis(850)).await;
    let orders = |weak: &[Daemon]| weak.iter().map(Daemon::orders).sum::<usize>();
    assert_eq!(orders(&weak), 0);
    sleep(Duration::from_secs(2)).await;
    assert!(orders(&weak) > 0);
}

/// The leader's machine is suspended, which the runtime's clock does not count.
#[tokio::test(start_paused = true)]
async fn a_leader_that_was_suspended_sends_no_orders() {
    let store = Arc::new(Store::default());
    let daemon = Daemon::start("one", 1, &store);
    sleep(Duration::from_secs(6)).await;
    store.is_unreachable.store(true, Ordering::Relaxed);
    sleep(Duration::from_millis(100)).await;
    daemon.clock.suspend(Duration::from_secs(4));
    sleep(Duration::from_millis(50)).await;
    daemon.orders();
    sleep(Duration::from_secs(5)).await;
    assert_eq!(daemon.orders(), 0);
}

/// A store that was away for longer than a leader is sure to be the only one may have lost the next one's entry.
#[test_case(Duration::from_millis(500), true; "away for a moment")]
#[test_case(Duration::from_secs(4), false; "away for longer")]
#[tokio::test(start_paused = true)]
async fn leader_goes_on_though_the_store_has_lost_later_entries(away: Duration, goes_on: bool) {
    let store = Arc::new(Store::default());
    let daemon = Daemon::start("one", 1, &store);
    sleep(Duration::from_secs(6)).await;
    let mut copy = store.snapshot.lock().unwrap().clone();
    copy.end = position(1, copy.end);
    store.is_unreachable.store(true, Ordering::Relaxed);
    sleep(away).await;
    *store.snapshot.lock().unwrap() = copy;
    store.is_unreachable.store(false, Ordering::Relaxed);
    sleep(Duration::from_secs(3)).await;
    daemon.orders();
    sleep(Duration::from_secs(10)).await;
    assert_eq!(daemon.orders() > 0, goes_on);
    // By then all grants that may be unknown have ended.
    sleep(Duration::from_secs(12)).await;
    assert!(daemon.orders() > 0);
    assert!(daemon.has_all_keys_served());
}

/// Waits in real time, since the daemons call each other over sockets.
async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_daemon_whose_connection_to_the_leader_breaks_waits_and_reads_the_store() {
    let store = Arc::new(Store::default());
    let outer = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let inner = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let forwarder = Forwarder::start(outer, inner.local_addr().unwrap()).await;
    let leader = Daemon::start_at(forwarder.address, "leader", 1, &store, 1_000);
    tokio::spawn(leader.server.clone().serve(inner));
    wait_until(|| leader.orders() > 0).await;
    let mut others = Vec::new();
    for run in 2..5 {
        others.push(Daemon::start_listening(&format!("c{run}"), run, &store, 500).await);
    }
    wait_until(|| leader.server.candidates().len() == 3).await;
    let store = store.for_another_daemon();
    let follower = Daemon::start_listening("follower", 5, &store, 100).await;
    wait_until(|| leader.server.daemons() == 5).await;
    wait_until(|| follower.shared.daemons.load(Ordering::Relaxed) == 5).await;
    store.calls();
    // All others connect again as well.
    let accepted = forwarder.accepted.load(Ordering::Relaxed);
    forwarder.cuts.send_replace(());
    wait_until(|| forwarder.accepted.load(Ordering::Relaxed) > accepted).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(store.calls(), 0);
}

/// A daemon that cannot look for the next leader in the store knows it as a successor.
#[tokio::test]
async fn tables_of_the_next_leader_are_unknown_until_it_is_followed() {
    let store = Arc::new(Store::default());
    let leader = Daemon::start_listening("leader", 1, &store, 1_000).await;
    wait_until(|| leader.has_all_keys_served()).await;
    let unreachable = store.for_another_daemon();
    unreachable.is_unreachable.store(true, Ordering::Relaxed);
    let other = Daemon::start_listening("other", 2, &unreachable, 100).await;
    let environment = &other.environment;
    environment.is_list_late.store(true, Ordering::Relaxed);
    other.shared.successors.send_replace(vec![leader.address]);
    let served = wait_until(|| other.has_all_keys_served());
    timeout(Duration::from_secs(30), served).await.unwrap();
}

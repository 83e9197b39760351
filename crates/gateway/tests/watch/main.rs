//! Configurations and upstreams are read from the store only as often as necessary.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use copperwell_assignment::{
    clock::Simulated,
    driver::Environment,
    store_state::{Delta, ListVersion, Newest, StoreState, UpstreamList},
    transfer::Encoded,
};
use copperwell_gateway::{View, metrics::Metrics, watch};
use copperwell_routing::{
    budget::Allowance,
    configuration::{Configuration, Limits},
    registry::Upstream,
    source::{Listing, ReadError, Source},
};
use test_case::test_case;
use tokio::time::sleep;

mod evacuation;
mod lists;

/// A store that returns a new configuration only after the whole wait, as if the waiting read was not woken.
#[derive(Default)]
struct LateSource {
    version: AtomicU64,
    list_reads: AtomicUsize,
    configuration_reads: AtomicUsize,
    /// How much longer than usual a read of the list takes.
    list_delay_ms: AtomicU64,
    /// Whether the configuration cannot be read.
    is_unreadable: bool,
}

fn configuration(version: u64) -> Configuration {
    let limits = Limits {
        head_bytes: 16 << 10,
        body_bytes: 1 << 20,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    Configuration::new(version, limits, [], [])
}

fn upstream() -> Upstream {
    Upstream {
        id: "u1".into(),
        born: 1,
        service: "cups".into(),
        address: ([127, 0, 0, 1], 9).into(),
        zone: "here".into(),
        slots: 2,
        is_draining: false,
        warmup: Duration::ZERO,
    }
}

/// Returns a configuration as another daemon sends it.
fn encoded(version: u64) -> Encoded {
    let state = StoreState::new(9);
    state.set_configuration(&Arc::new(configuration(version)));
    state.chunk(0, version, 0).unwrap().bytes.into()
}

impl Source for LateSource {
    async fn configuration(
        &self,
        above: Option<u64>,
        wait: Duration,
    ) -> Result<Option<Configuration>, ReadError> {
        let reads = self.configuration_reads.fetch_add(1, Ordering::Relaxed);
        if self.is_unreadable {
            // The bytes are sent once; then the store waits for others.
            if reads == 0 {
                return Err(ReadError::new("the configuration is invalid"));
            }
            sleep(wait).await;
            return Ok(None);
        }
        let version = self.version.load(Ordering::Relaxed);
        if wait.is_zero() || above.is_none() {
            sleep(Duration::from_millis(4)).await;
        } else {
            sleep(wait).await;
        }
        let version = version.max(self.version.load(Ordering::Relaxed));
        let is_newer = above.is_none_or(|above| version > above);
        Ok(is_newer.then(|| configuration(version)))
    }

    async fn upstreams(&self) -> Result<Listing, ReadError> {
        self.list_reads.fetch_add(1, Ordering::Relaxed);
        let delay_ms = self.list_delay_ms.load(Ordering::Relaxed);
        sleep(Duration::from_millis(4 + delay_ms)).await;
        Ok(Listing {
            upstreams: vec![upstream()],
            invalid: Vec::new(),
            generation: 0,
        })
    }
}

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 60.0,
    window: Duration::from_secs(10),
};

struct Fixture {
    source: Arc<LateSource>,
    view: Arc<View>,
}

impl Fixture {
    async fn start() -> Self {
        let source = Arc::new(LateSource::default());
        source.version.store(1, Ordering::Relaxed);
        let view = Arc::new(View::new(7, "here".into(), ALLOWANCE));
        view.keys.has_looked_for_leader.send_replace(true);
        let metrics = Metrics::default();
        tokio::spawn(watch::configurations(
            source.clone(),
            view.clone(),
            metrics.clone(),
        ));
        let clock = Simulated::default();
        clock.suspend(Duration::from_secs(1));
        let listing = watch::upstreams(source.clone(), view.clone(), clock, metrics);
        tokio::spawn(listing);
        sleep(Duration::from_secs(3)).await;
        assert!(view.is_complete());
        Self { source, view }
    }

    fn version(&self) -> u64 {
        self.view.configuration().unwrap().version
    }

    /// Simulates updates from a leader that has this configuration version, for `duration`.
    async fn receive_updates(&self, configuration: u64, duration: Duration) {
        let interval = Duration::from_millis(400);
        for _ in 0..duration.as_millis() / interval.as_millis() {
            self.view.apply_update(Delta {
                configuration,
                difference: None,
                list: ListVersion { run: 9, number: 1 },
                age: Duration::from_millis(300),
                upstreams: Some(UpstreamList::Whole(vec![upstream()])),
            });
            sleep(interval).await;
        }
    }
}

/// The store may not wake a waiting read at once when a new configuration is written.
#[tokio::test(start_paused = true)]
async fn configuration_is_in_force_soon_even_if_a_read_is_not_woken() {
    let fixture = Fixture::start().await;
    for version in 2..12 {
        fixture.source.version.store(version, Ordering::Relaxed);
        sleep(Duration::from_millis(1_100)).await;
        assert_eq!(fixture.version(), version);
    }
}

#[tokio::test(start_paused = true)]
async fn store_is_not_read_while_updates_from_the_leader_arrive() {
    let fixture = Fixture::start().await;
    fixture.receive_updates(1, Duration::from_secs(4)).await;
    let list_reads = fixture.source.list_reads.load(Ordering::Relaxed);
    let configuration_reads = fixture.source.configuration_reads.load(Ordering::Relaxed);
    fixture.receive_updates(1, Duration::from_secs(20)).await;
    assert_eq!(
        fixture.source.list_reads.load(Ordering::Relaxed),
        list_reads
    );
    assert_eq!(
        fixture.source.configuration_reads.load(Ordering::Relaxed),
        configuration_reads
    );
    // The leader announces a newer configuration, of which no part arrives from other daemons.
    fixture.source.version.store(6, Ordering::Relaxed);
    fixture.receive_updates(6, Duration::from_millis(800)).await;
    assert_eq!(fixture.version(), 1);
    fixture.receive_updates(6, Duration::from_millis(800)).await;
    assert_eq!(fixture.version(), 6);
}

#[tokio::test(start_paused = true)]
async fn store_is_read_once_updates_from_the_leader_stop() {
    let fixture = Fixture::start().await;
    fixture.receive_updates(1, Duration::from_secs(4)).await;
    let list_reads = fixture.source.list_reads.load(Ordering::Relaxed);
    fixture.source.version.store(8, Ordering::Relaxed);
    sleep(Duration::from_millis(2_600)).await;
    assert!(fixture.source.list_reads.load(Ordering::Relaxed) > list_reads);
    assert_eq!(fixture.version(), 8);
}

/// Ages are measured from the last confirmation, and are `None` before the first one.
#[tokio::test(start_paused = true)]
async fn ages_are_measured_from_the_last_confirmation() {
    let view = Arc::new(View::new(1, "here".into(), ALLOWANCE));
    assert_eq!(view.configuration_age(), None);
    assert_eq!(view.leader_age(), None);
    let source = Arc::new(LateSource::default());
    source.version.store(3, Ordering::Relaxed);
    view.keys.has_looked_for_leader.send_replace(true);
    let metrics = Metrics::default();
    let reader = tokio::spawn(watch::configurations(source, view.clone(), metrics));
    while view.configuration().is_none() {
        sleep(Duration::from_millis(1)).await;
    }
    reader.abort();
    sleep(Duration::from_secs(3)).await;
    let age = view.configuration_age().unwrap();
    assert!(age >= Duration::from_secs(3), "{age:?}");
    // The leader confirms that the configuration is the newest.
    let delta = |configuration| Delta {
        configuration,
        difference: None,
        list: ListVersion::default(),
        age: Duration::ZERO,
        upstreams: None,
    };
    view.apply_update(delta(3));
    assert_eq!(view.configuration_age(), Some(Duration::ZERO));
    sleep(Duration::from_secs(1)).await;
    // The leader has a newer configuration, so the age counts from the last confirmation by the store.
    view.apply_update(delta(4));
    let age = view.configuration_age().unwrap();
    assert!(age >= Duration::from_secs(4), "{age:?}");
    assert_eq!(view.leader_age(), Some(Duration::ZERO));
}

/// A configuration from the leader is in force at once and is not read from the store.
#[tokio::test(start_paused = true)]
async fn configuration_from_the_leader_is_not_read_from_the_store() {
    let fixture = Fixture::start().await;
    fixture.receive_updates(1, Duration::from_secs(2)).await;
    let configuration_reads = fixture.source.configuration_reads.load(Ordering::Relaxed);
    let update = |version| Delta {
        configuration: version,
        difference: Some(encoded(version)),
        list: ListVersion { run: 9, number: 1 },
        age: Duration::ZERO,
        upstreams: None,
    };
    fixture.view.apply_update(update(5));
    assert_eq!(fixture.version(), 5);
    // An older configuration changes nothing.
    fixture.view.apply_update(update(4));
    assert_eq!(fixture.version(), 5);
    fixture.receive_updates(5, Duration::from_secs(2)).await;
    assert_eq!(
        fixture.source.configuration_reads.load(Ordering::Relaxed),
        configuration_reads
    );
}

/// While parts of a configuration arrive from other daemons, it is not read from the store as well.
#[tokio::test(start_paused = true)]
async fn store_is_read_beside_a_transfer() {
    let fixture = Fixture::start().await;
    fixture.receive_updates(1, Duration::from_secs(2)).await;
    fixture.source.version.store(6, Ordering::Relaxed);
    let reads = fixture.source.configuration_reads.load(Ordering::Relaxed);
    for _ in 0..10 {
        fixture.receive_updates(6, Duration::from_millis(400)).await;
        fixture.view.record_transfer();
    }
    assert_eq!(
        fixture.source.configuration_reads.load(Ordering::Relaxed),
        reads
    );
    assert!(!fixture.view.apply_difference(b"no difference"));
    assert!(fixture.view.apply_difference(&encoded(6)));
    assert_eq!(fixture.version(), 6);
}

/// A daemon that follows a leader from its start is complete without any read of the store.
#[tokio::test(start_paused = true)]
async fn follower_does_not_read_the_store_at_start() {
    let source = Arc::new(LateSource::default());
    source.version.store(1, Ordering::Relaxed);
    let view = Arc::new(View::new(7, "here".into(), ALLOWANCE));
    let metrics = Metrics::default();
    let configurations = watch::configurations(source.clone(), view.clone(), metrics.clone());
    tokio::spawn(configurations);
    let clock = Simulated::default();
    let listing = watch::upstreams(source.clone(), view.clone(), clock, metrics);
    tokio::spawn(listing);
    // The daemon has not looked for a leader yet.
    sleep(Duration::from_secs(1)).await;
    let fixture = Fixture { source, view };
    fixture.view.apply_update(Delta {
        configuration: 1,
        difference: Some(encoded(1)),
        list: ListVersion { run: 9, number: 1 },
        age: Duration::ZERO,
        upstreams: Some(UpstreamList::Whole(vec![upstream()])),
    });
    fixture.view.keys.has_looked_for_leader.send_replace(true);
    assert!(fixture.view.is_complete());
    fixture.receive_updates(1, Duration::from_secs(2)).await;
    let reads = [
        &fixture.source.configuration_reads,
        &fixture.source.list_reads,
    ];
    assert_eq!(reads.map(|count| count.load(Ordering::Relaxed)), [0, 0]);
    // A daemon that is about to lead reads the list at once, and only once.
    fixture
        .view
        .keys
        .needs_upstream_list
        .store(true, Ordering::Relaxed);
    fixture.receive_updates(1, Duration::from_secs(2)).await;
    assert_eq!(fixture.source.list_reads.swap(0, Ordering::Relaxed), 1);
    // Without updates from the leader, the daemon reads the store itself.
    sleep(Duration::from_secs(3)).await;
    assert!(fixture.source.list_reads.load(Ordering::Relaxed) > 0);
}

/// While successors answer that they have not read the store yet, a daemon waits for them.
#[test_case(0; "the list was just read")]
#[test_case(600; "the list was about to be read again")]
#[test_case(1_000; "the list was read slowly")]
#[tokio::test(start_paused = true)]
async fn daemons_read_the_store_before_successors_can_answer(list_age_ms: u64) {
    const ASK_INTERVAL: Duration = Duration::from_millis(150);
    const ANSWER_TIME: Duration = Duration::from_millis(100);
    let fixture = Fixture::start().await;
    fixture.receive_updates(1, Duration::from_secs(4)).await;
    let successor = ([127, 0, 0, 1], 9).into();
    fixture.view.keys.successors.send_replace(vec![successor]);
    fixture.view.apply_update(Delta {
        configuration: 1,
        difference: None,
        list: ListVersion { run: 9, number: 1 },
        age: Duration::from_millis(list_age_ms),
        upstreams: None,
    });
    let reads = fixture.source.configuration_reads.load(Ordering::Relaxed);
    while !fixture.view.is_leader_late() {
        sleep(Duration::from_millis(10)).await;
    }
    sleep(ASK_INTERVAL + ANSWER_TIME).await;
    fixture.view.record_successor(None);
    assert_eq!(
        fixture.source.configuration_reads.load(Ordering::Relaxed),
        reads
    );
}

#[tokio::test(start_paused = true)]
async fn every_daemon_reads_the_store_while_the_leader_has_an_old_list() {
    let fixture = Fixture::start().await;
    fixture.receive_updates(1, Duration::from_secs(4)).await;
    let successor = ([127, 0, 0, 1], 9).into();
    fixture.view.keys.successors.send_replace(vec![successor]);
    let reads = fixture.source.configuration_reads.load(Ordering::Relaxed);
    for list_age_ms in (0..6_000).step_by(150) {
        fixture.view.apply_update(Delta {
            configuration: 1,
            difference: None,
            list: ListVersion { run: 9, number: 1 },
            age: Duration::from_millis(list_age_ms),
            upstreams: None,
        });
        if fixture.view.is_leader_late() {
            fixture.view.record_successor(Some(Newest {
                version: 1,
                age: Duration::from_millis(500),
            }));
            fixture.view.record_successors_asked();
        }
        sleep(Duration::from_millis(150)).await;
    }
    assert!(fixture.view.is_leader_late());
    assert_eq!(
        fixture.source.configuration_reads.load(Ordering::Relaxed),
        reads
    );
}

/// Guards against daemons that read the store again and again because its configuration cannot be read: without a
/// leader each reads it once a second at most, and a list of upstreams that the leader sends not at all.
#[tokio::test(start_paused = true)]
async fn unreadable_configuration_makes_daemons_read_the_store_often() {
    const PLAYED_S: usize = 20;
    let source = Arc::new(LateSource {
        is_unreadable: true,
        ..LateSource::default()
    });
    let view = Arc::new(View::new(7, "here".into(), ALLOWANCE));
    view.keys.has_looked_for_leader.send_replace(true);
    let metrics = Metrics::default();
    let configurations = watch::configurations(source.clone(), view.clone(), metrics.clone());
    tokio::spawn(configurations);
    let clock = Simulated::default();
    let listing = watch::upstreams(source.clone(), view.clone(), clock, metrics);
    tokio::spawn(listing);
    sleep(Duration::from_secs(PLAYED_S as u64)).await;
    let reads = source.configuration_reads.load(Ordering::Relaxed);
    assert!(reads <= PLAYED_S, "{reads} reads of the configuration");
    let fixture = Fixture { source, view };
    fixture.receive_updates(0, Duration::from_secs(2)).await;
    let lists = fixture.source.list_reads.load(Ordering::Relaxed);
    fixture.receive_updates(0, Duration::from_secs(10)).await;
    let lists = fixture.source.list_reads.load(Ordering::Relaxed) - lists;
    assert_eq!(lists, 0, "reads of the list beside updates from the leader");
}

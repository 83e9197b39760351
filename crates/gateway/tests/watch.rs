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
    exchange::Newest,
    store_state::{Delta, ListVersion, StoreState, UpstreamList},
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

/// A store that returns a new configuration only after the whole wait, as if the waiting read was not woken.
#[derive(Default)]
struct LateSource {
    version: AtomicU64,
    list_reads: AtomicUsize,
    configuration_reads: AtomicUsize,
    /// How much longer than usual a read of the list takes.
    list_delay_ms: AtomicU64,
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
        self.configuration_reads.fetch_add(1, Ordering::Relaxed);
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

/// Changes of the leader's list must not be applied to a list that was read from the store in the meantime.
#[tokio::test(start_paused = true)]
async fn changes_of_another_list_are_not_applied() {
    let fixture = Fixture::start().await;
    let version = |number| ListVersion { run: 9, number };
    let delta = |list, upstreams| Delta {
        configuration: 1,
        difference: None,
        list,
        age: Duration::ZERO,
        upstreams: Some(upstreams),
    };
    let removal = || UpstreamList::Changed {
        from: version(1),
        changed: Vec::new(),
        gone: vec!["u1".into()],
    };
    let other = Upstream {
        id: "u2".into(),
        ..upstream()
    };
    let whole = UpstreamList::Whole(vec![upstream(), other]);
    fixture.view.apply_update(delta(version(1), whole));
    assert_eq!(fixture.view.versions().1, version(1));
    // No updates arrive from the leader, so the list is read from the store.
    sleep(Duration::from_secs(3)).await;
    assert_eq!(fixture.view.versions().1, ListVersion::default());
    // A late update contains no list, since this daemon had the leader's list when it asked.
    let unchanged = Delta {
        upstreams: None,
        ..delta(version(1), removal())
    };
    fixture.view.apply_update(unchanged);
    assert_eq!(fixture.view.versions().1, ListVersion::default());
    fixture.view.apply_update(delta(version(2), removal()));
    assert_eq!(fixture.view.registry().len(), 1);
    assert_eq!(fixture.view.versions().1, ListVersion::default());
    assert!(fixture.view.is_complete());
    fixture
        .view
        .apply_update(delta(version(1), UpstreamList::Whole(vec![upstream()])));
    fixture.view.apply_update(delta(version(2), removal()));
    assert!(fixture.view.registry().is_empty());
}

/// A leader that is cut off from the store repeats its last list.
#[tokio::test(start_paused = true)]
async fn old_list_of_the_leader_replaces_one_that_was_read_since() {
    let fixture = Fixture::start().await;
    let version = ListVersion { run: 9, number: 3 };
    let stale = || Upstream {
        id: "stale".into(),
        ..upstream()
    };
    let delta = |age, upstreams| Delta {
        configuration: 1,
        difference: None,
        list: version,
        age,
        upstreams,
    };
    let whole = || Some(UpstreamList::Whole(vec![stale()]));
    // This daemon has read the store less than 600 ms ago.
    fixture
        .view
        .apply_update(delta(Duration::from_secs(2), whole()));
    assert!(fixture.view.registry().get("stale").is_none());
    // The leader does not send its list again and again.
    assert_eq!(fixture.view.versions().1, version);
    // The leader has read the store again, and found the same list.
    fixture.view.apply_update(delta(Duration::ZERO, None));
    assert_eq!(fixture.view.versions().1, ListVersion::default());
    assert!(fixture.view.registry().get("stale").is_none());
    fixture.view.apply_update(delta(Duration::ZERO, whole()));
    assert_eq!(fixture.view.versions().1, version);
    assert!(fixture.view.registry().get("stale").is_some());
}

/// The leader need not send its whole list to a daemon that finds the same one in the store.
#[tokio::test(start_paused = true)]
async fn list_of_the_leader_is_asked_for_again_though_the_store_has_the_same() {
    let fixture = Fixture::start().await;
    let list = ListVersion { run: 9, number: 1 };
    fixture.receive_updates(1, Duration::from_secs(1)).await;
    sleep(Duration::from_secs(3)).await;
    assert!(fixture.source.list_reads.load(Ordering::Relaxed) > 1);
    assert_eq!(fixture.view.versions().1, list);
}

#[test_case(0, 10; "the store answers at once")]
#[test_case(400, 8; "it is slow")]
#[test_case(900, 4; "it is very slow")]
#[tokio::test(start_paused = true)]
async fn slow_store_is_read_again_at_once(delay_ms: u64, reads_max: usize) {
    let fixture = Fixture::start().await;
    fixture
        .source
        .list_delay_ms
        .store(delay_ms, Ordering::Relaxed);
    sleep(Duration::from_secs(2)).await;
    fixture.source.list_reads.store(0, Ordering::Relaxed);
    sleep(Duration::from_secs(6)).await;
    let reads = fixture.source.list_reads.load(Ordering::Relaxed);
    assert!((reads_max - 2..=reads_max).contains(&reads), "{reads}");
}

#[tokio::test(start_paused = true)]
async fn every_daemon_reads_the_list_while_the_leader_has_an_old_one() {
    let fixture = Fixture::start().await;
    fixture.receive_updates(1, Duration::from_secs(4)).await;
    let successor = ([127, 0, 0, 1], 9).into();
    fixture.view.keys.successors.send_replace(vec![successor]);
    let reads = fixture.source.list_reads.load(Ordering::Relaxed);
    for age_ms in (0..6_000).step_by(150) {
        fixture.view.apply_update(Delta {
            configuration: 1,
            difference: None,
            list: ListVersion { run: 9, number: 1 },
            age: Duration::from_millis(age_ms),
            upstreams: None,
        });
        if fixture.view.is_list_late() {
            fixture.view.apply_successor_list(Delta {
                configuration: 1,
                difference: None,
                list: ListVersion { run: 8, number: 2 },
                age: Duration::from_millis(100),
                upstreams: Some(UpstreamList::Whole(vec![upstream()])),
            });
        }
        sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(fixture.source.list_reads.load(Ordering::Relaxed), reads);
}

/// The leader is cut off from the store, a successor reads the list, and then leads.
#[tokio::test(start_paused = true)]
async fn list_of_a_successor_is_lost_when_it_leads() {
    let fixture = Fixture::start().await;
    let view = &fixture.view;
    let version = |run, number| ListVersion { run, number };
    let delta = |list, age_ms, upstreams| Delta {
        configuration: 1,
        difference: None,
        list,
        age: Duration::from_millis(age_ms),
        upstreams,
    };
    let named = |id: &str| Upstream {
        id: id.into(),
        ..upstream()
    };
    let whole = |id| Some(UpstreamList::Whole(vec![named(id)]));
    let changed = |from, id| {
        Some(UpstreamList::Changed {
            from,
            changed: vec![named(id)],
            gone: Vec::new(),
        })
    };
    sleep(Duration::from_secs(1)).await;
    view.apply_update(delta(version(9, 1), 0, whole("a")));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(view.known_list(), version(9, 1));
    let list = changed(version(9, 1), "b");
    assert!(view.apply_successor_list(delta(version(8, 2), 50, list)));
    assert_eq!(view.known_list(), version(8, 2));
    // An older list is not taken, whoever tells it.
    assert!(!view.apply_successor_list(delta(version(7, 4), 300, whole("old"))));
    view.apply_update(delta(version(9, 1), 1_000, None));
    assert_eq!(view.versions().1, version(9, 1));
    sleep(Duration::from_millis(300)).await;
    // The successor leads, and does not know yet which list this daemon has.
    view.apply_update(delta(version(8, 3), 0, changed(version(9, 1), "c")));
    assert_eq!(view.versions().1, version(8, 2));
    view.apply_update(delta(version(8, 3), 0, changed(version(8, 2), "c")));
    assert_eq!(view.versions().1, version(8, 3));
    let registry = view.registry();
    assert!(["a", "b", "c"].iter().all(|id| registry.get(id).is_some()));
    assert_eq!(registry.len(), 3);
}

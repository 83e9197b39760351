//! Configurations and upstreams are read as often as they must be, and no more.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use copperwell_assignment::{
    clock::Driven,
    driver::Scene,
    news::{ListNumber, Listed, News},
};
use copperwell_gateway::{Beliefs, metrics::Metrics, watch};
use copperwell_routing::{
    budget::Allowance,
    configuration::{Configuration, Limits},
    registry::Upstream,
    source::{Listing, Source, Unread},
};
use tokio::time::sleep;

/// A store that tells of a new configuration only when the wait for it is over.
#[derive(Default)]
struct Deaf {
    version: AtomicU64,
    lists: AtomicUsize,
    readings: AtomicUsize,
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

impl Source for Deaf {
    async fn configuration(
        &self,
        above: Option<u64>,
        wait: Duration,
    ) -> Result<Option<Configuration>, Unread> {
        self.readings.fetch_add(1, Ordering::Relaxed);
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

    async fn upstreams(&self) -> Result<Listing, Unread> {
        self.lists.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(4)).await;
        Ok(Listing {
            upstreams: vec![upstream()],
            unreadable: Vec::new(),
        })
    }
}

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 60.0,
    window: Duration::from_secs(10),
};

struct Bench {
    source: Arc<Deaf>,
    beliefs: Arc<Beliefs>,
}

impl Bench {
    async fn start() -> Self {
        let source = Arc::new(Deaf::default());
        source.version.store(1, Ordering::Relaxed);
        let beliefs = Arc::new(Beliefs::new(7, "here".into(), ALLOWANCE));
        beliefs.keys.looked.send_replace(true);
        let metrics = Metrics::default();
        tokio::spawn(watch::configurations(
            source.clone(),
            beliefs.clone(),
            metrics.clone(),
        ));
        let clock = Driven::default();
        clock.suspend(Duration::from_secs(1));
        let listing = watch::upstreams(source.clone(), beliefs.clone(), clock, metrics);
        tokio::spawn(listing);
        sleep(Duration::from_secs(3)).await;
        assert!(beliefs.is_complete());
        Self { source, beliefs }
    }

    fn version(&self) -> u64 {
        self.beliefs.configuration().unwrap().version
    }

    /// Hears the leader for a while, who has this configuration.
    async fn hear(&self, configuration: u64, time: Duration) {
        let step = Duration::from_millis(400);
        for _ in 0..time.as_millis() / step.as_millis() {
            self.beliefs.hear(News {
                configuration,
                told: None,
                list: ListNumber { run: 9, number: 1 },
                age: Duration::from_millis(300),
                upstreams: Some(Listed::Whole(vec![upstream()])),
            });
            sleep(step).await;
        }
    }
}

/// The store's answer to a waiting reading is no promise to come at once.
#[tokio::test(start_paused = true)]
async fn a_configuration_is_in_force_soon_though_a_reading_is_not_woken() {
    let bench = Bench::start().await;
    for version in 2..12 {
        bench.source.version.store(version, Ordering::Relaxed);
        sleep(Duration::from_millis(1_100)).await;
        assert_eq!(bench.version(), version);
    }
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_hears_from_the_leader_leaves_the_reading_to_it() {
    let bench = Bench::start().await;
    bench.hear(1, Duration::from_secs(4)).await;
    let lists = bench.source.lists.load(Ordering::Relaxed);
    let readings = bench.source.readings.load(Ordering::Relaxed);
    bench.hear(1, Duration::from_secs(20)).await;
    assert_eq!(bench.source.lists.load(Ordering::Relaxed), lists);
    assert_eq!(bench.source.readings.load(Ordering::Relaxed), readings);
    // The leader has a newer one: that is read at once.
    bench.source.version.store(6, Ordering::Relaxed);
    bench.hear(6, Duration::from_millis(400)).await;
    assert_eq!(bench.version(), 6);
}

#[tokio::test(start_paused = true)]
async fn a_daemon_that_does_not_hear_any_more_reads_itself() {
    let bench = Bench::start().await;
    bench.hear(1, Duration::from_secs(4)).await;
    let lists = bench.source.lists.load(Ordering::Relaxed);
    bench.source.version.store(8, Ordering::Relaxed);
    sleep(Duration::from_millis(2_600)).await;
    assert!(bench.source.lists.load(Ordering::Relaxed) > lists);
    assert_eq!(bench.version(), 8);
}

/// Ages say how old a belief is, and nothing before it is there.
#[tokio::test(start_paused = true)]
async fn beliefs_have_an_age() {
    let beliefs = Arc::new(Beliefs::new(1, "here".into(), ALLOWANCE));
    assert_eq!(beliefs.configuration_age(), None);
    assert_eq!(beliefs.leader_age(), None);
    let source = Arc::new(Deaf::default());
    source.version.store(3, Ordering::Relaxed);
    beliefs.keys.looked.send_replace(true);
    let metrics = Metrics::default();
    let reading = tokio::spawn(watch::configurations(source, beliefs.clone(), metrics));
    while beliefs.configuration().is_none() {
        sleep(Duration::from_millis(1)).await;
    }
    reading.abort();
    sleep(Duration::from_secs(3)).await;
    let age = beliefs.configuration_age().unwrap();
    assert!(age >= Duration::from_secs(3), "{age:?}");
    // The leader has no newer one.
    let news = |configuration| News {
        configuration,
        told: None,
        list: ListNumber::default(),
        age: Duration::ZERO,
        upstreams: None,
    };
    beliefs.hear(news(3));
    assert_eq!(beliefs.configuration_age(), Some(Duration::ZERO));
    sleep(Duration::from_secs(1)).await;
    // It has one, so what this daemon has is as old as when it was the newest.
    beliefs.hear(news(4));
    let age = beliefs.configuration_age().unwrap();
    assert!(age >= Duration::from_secs(4), "{age:?}");
    assert_eq!(beliefs.leader_age(), Some(Duration::ZERO));
}

/// A configuration that the leader tells is in force at once, and the store is not asked for it.
#[tokio::test(start_paused = true)]
async fn a_configuration_that_is_told_is_not_read() {
    let bench = Bench::start().await;
    bench.hear(1, Duration::from_secs(2)).await;
    let readings = bench.source.readings.load(Ordering::Relaxed);
    let told = |version| News {
        configuration: version,
        told: Some(Arc::new(configuration(version))),
        list: ListNumber { run: 9, number: 1 },
        age: Duration::ZERO,
        upstreams: None,
    };
    bench.beliefs.hear(told(5));
    assert_eq!(bench.version(), 5);
    // One that is older changes nothing.
    bench.beliefs.hear(told(4));
    assert_eq!(bench.version(), 5);
    bench.hear(5, Duration::from_secs(2)).await;
    assert_eq!(bench.source.readings.load(Ordering::Relaxed), readings);
}

/// A daemon that follows a leader from its start is complete without one reading of the store.
#[tokio::test(start_paused = true)]
async fn a_daemon_that_hears_from_the_start_reads_nothing() {
    let source = Arc::new(Deaf::default());
    source.version.store(1, Ordering::Relaxed);
    let beliefs = Arc::new(Beliefs::new(7, "here".into(), ALLOWANCE));
    let metrics = Metrics::default();
    let reading = watch::configurations(source.clone(), beliefs.clone(), metrics.clone());
    tokio::spawn(reading);
    let clock = Driven::default();
    let listing = watch::upstreams(source.clone(), beliefs.clone(), clock, metrics);
    tokio::spawn(listing);
    // It has not looked for a leader yet.
    sleep(Duration::from_secs(1)).await;
    let bench = Bench { source, beliefs };
    bench.beliefs.hear(News {
        configuration: 1,
        told: Some(Arc::new(configuration(1))),
        list: ListNumber { run: 9, number: 1 },
        age: Duration::ZERO,
        upstreams: Some(Listed::Whole(vec![upstream()])),
    });
    bench.beliefs.keys.looked.send_replace(true);
    assert!(bench.beliefs.is_complete());
    bench.hear(1, Duration::from_secs(2)).await;
    let reads = [&bench.source.readings, &bench.source.lists];
    assert_eq!(reads.map(|count| count.load(Ordering::Relaxed)), [0, 0]);
    // A daemon that would lead reads the list at once, and once.
    bench.beliefs.keys.lacks_list.store(true, Ordering::Relaxed);
    bench.hear(1, Duration::from_secs(2)).await;
    assert_eq!(bench.source.lists.swap(0, Ordering::Relaxed), 1);
    // Once the leader is silent it reads for itself.
    sleep(Duration::from_secs(3)).await;
    assert!(bench.source.lists.load(Ordering::Relaxed) > 0);
}

/// What the leader changed in its list applies to that list alone, not to one that was read meanwhile.
#[tokio::test(start_paused = true)]
async fn a_change_of_another_list_is_not_taken() {
    let bench = Bench::start().await;
    let number = |number| ListNumber { run: 9, number };
    let news = |list, listed| News {
        configuration: 1,
        told: None,
        list,
        age: Duration::ZERO,
        upstreams: Some(listed),
    };
    let without = || Listed::Changed {
        from: number(1),
        changed: Vec::new(),
        gone: vec!["u1".into()],
    };
    bench
        .beliefs
        .hear(news(number(1), Listed::Whole(vec![upstream()])));
    assert_eq!(bench.beliefs.has().1, number(1));
    // The leader is silent, so the list is read.
    sleep(Duration::from_secs(3)).await;
    assert_eq!(bench.beliefs.has().1, ListNumber::default());
    // An answer that was on its way says nothing of the list, since that is the one that it had.
    let same = News {
        upstreams: None,
        ..news(number(1), without())
    };
    bench.beliefs.hear(same);
    assert_eq!(bench.beliefs.has().1, ListNumber::default());
    bench.beliefs.hear(news(number(2), without()));
    assert_eq!(bench.beliefs.registry().len(), 1);
    assert_eq!(bench.beliefs.has().1, ListNumber::default());
    assert!(bench.beliefs.is_complete());
    bench
        .beliefs
        .hear(news(number(1), Listed::Whole(vec![upstream()])));
    bench.beliefs.hear(news(number(2), without()));
    assert!(bench.beliefs.registry().is_empty());
}

//! Followers that read the log by way of each other, on a paused clock.

use std::{
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use copperwell_keyspace::{
    LogOffset,
    manifest::Manifest,
    record::{Body, Id, Record, Snapshot},
};
use copperwell_log::{
    Batch, Entry, Error, Log, Relay,
    follow::{Follower, Held, Settings, Source, Status, View},
    metrics::Metrics,
};
use error_stack::Report;
use test_case::test_case;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

/// The time in which a manifest has to be in force everywhere, by the target.
const IN_FORCE: Duration = Duration::from_secs(3);

const MANIFEST: &str = "
replaces: 0
data_centres:
  - { name: north, region: ro }
services:
  - name: calendar
    class: interactive
    shards: 16
    upstreams:
      - { name: one, data_centre: north, address: '127.0.0.1:1', slots: 2, connections: 130 }
";

/// The log as all daemons share it.
struct Shared {
    entries: Mutex<Vec<Entry>>,
    end: watch::Sender<usize>,
}

/// One daemon's way to the log.
struct Way {
    shared: Arc<Shared>,
    is_cut: AtomicBool,
}

impl Shared {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            entries: Mutex::default(),
            end: watch::Sender::new(0),
        })
    }

    fn publish(&self, replaces: u64) {
        let mut manifest = Manifest::from_yaml(MANIFEST).unwrap();
        manifest.replaces = replaces;
        let record = Record {
            id: Id {
                writer: "operator".into(),
                incarnation: replaces + 1,
                sequence: 1,
            },
            body: Body::Manifest(manifest),
        };
        self.push(record.encode().unwrap());
    }

    fn push(&self, bytes: Vec<u8>) {
        let mut entries = self.entries.lock().unwrap();
        let offset = entries.len() as LogOffset;
        entries.push(Entry { offset, bytes });
        self.end.send_replace(entries.len());
    }

    /// Loses all records.
    fn reset(&self) {
        self.entries.lock().unwrap().clear();
        self.end.send_replace(0);
    }
}

impl Log for Way {
    async fn append(&self, _: &str, bytes: Vec<u8>) -> Result<LogOffset, Report<Error>> {
        self.shared.push(bytes);
        Ok(0)
    }

    async fn read(&self, _: &str, from: LogOffset, wait: Duration) -> Result<Batch, Report<Error>> {
        let mut end = self.shared.end.subscribe();
        let from = usize::try_from(from).unwrap();
        let _ = timeout(wait, end.wait_for(|end| *end > from)).await;
        if self.is_cut.load(Ordering::SeqCst) {
            // A network that drops everything shows only by the time that passes.
            sleep(Duration::from_secs(2)).await;
            return Err(Report::new(Error::Unavailable));
        }
        let entries = self.shared.entries.lock().unwrap();
        Ok(Batch {
            first: 0,
            next: entries.len() as LogOffset,
            records: entries.iter().skip(from).cloned().collect(),
            relayed: None,
        })
    }
}

/// What one daemon may read from: it changes to the next source after each that is avoided.
#[derive(Default)]
struct Peers {
    is_reader: bool,
    sources: OnceLock<Vec<Held>>,
    turn: AtomicUsize,
    avoided: AtomicUsize,
}

impl Peers {
    fn source(&self) -> Result<&Held, Report<Error>> {
        let sources = self.sources.get().map_or(&[][..], Vec::as_slice);
        let index = self.turn.load(Ordering::SeqCst).checked_rem(sources.len());
        index
            .map(|index| &sources[index])
            .ok_or_else(|| Report::new(Error::Unavailable))
    }
}

impl Relay for Peers {
    fn is_reader(&self) -> bool {
        self.is_reader
    }

    async fn records(&self, from: LogOffset, wait: Duration) -> Result<Batch, Report<Error>> {
        self.source()?.records(from, wait).await
    }

    fn avoid(&self) {
        self.turn.fetch_add(1, Ordering::SeqCst);
        self.avoided.fetch_add(1, Ordering::SeqCst);
    }

    async fn snapshot(&self) -> Result<Snapshot, Report<Error>> {
        self.source()?.snapshot()
    }
}

/// Daemons of which the first `readers` read the log.
struct Fleet {
    shared: Arc<Shared>,
    ways: Vec<Arc<Way>>,
    peers: Vec<Arc<Peers>>,
    followers: Vec<Follower>,
}

impl Fleet {
    /// Each daemon may read from those that `sources` names.
    fn start(count: usize, readers: usize, sources: impl Fn(usize) -> Vec<usize>) -> Self {
        let shared = Shared::new();
        let mut fleet = Self {
            shared: shared.clone(),
            ways: Vec::new(),
            peers: Vec::new(),
            followers: Vec::new(),
        };
        for index in 0..count {
            let way = Arc::new(Way {
                shared: shared.clone(),
                is_cut: AtomicBool::new(false),
            });
            let peers = Arc::new(Peers {
                is_reader: index < readers,
                ..Peers::default()
            });
            let settings = Settings::new(Source::Chosen).with_writer(format!("d{index}"));
            let metrics = Metrics::default();
            let follower = Follower::start_with(way.clone(), peers.clone(), settings, metrics);
            fleet.ways.push(way);
            fleet.peers.push(peers);
            fleet.followers.push(follower);
        }
        for (index, peers) in fleet.peers.iter().enumerate() {
            let held = |index: usize| fleet.followers[index].held();
            let _ = peers
                .sources
                .set(sources(index).into_iter().map(held).collect());
        }
        fleet
    }

    /// Waits until a condition holds for every follower; gives the time that it took.
    async fn until(&self, holds: impl Fn(&View) -> bool) -> Duration {
        let start = Instant::now();
        for follower in &self.followers {
            let mut view = follower.view();
            view.wait_for(|view| holds(view)).await.unwrap();
        }
        start.elapsed()
    }

    async fn publish(&self, replaces: u64) -> Duration {
        self.shared.publish(replaces);
        self.until(|view| view.state.version() > replaces).await
    }
}

#[tokio::test(start_paused = true)]
async fn news_pass_through_a_reader_at_once() {
    let fleet = Fleet::start(8, 1, |_| vec![0]);
    fleet.until(|view| view.status == Status::Current).await;
    fleet.publish(0).await;
    sleep(Duration::from_mins(1)).await;
    assert!(fleet.publish(1).await < Duration::from_millis(100));
    let avoided = |peers: &Arc<Peers>| peers.avoided.load(Ordering::SeqCst);
    assert_eq!(fleet.peers.iter().map(avoided).sum::<usize>(), 0);
}

#[test_case(Duration::ZERO; "when just cut off")]
#[test_case(Duration::from_millis(700); "soon after")]
#[test_case(Duration::from_mins(10); "cut off for long")]
#[tokio::test(start_paused = true)]
async fn a_reader_that_is_cut_off_holds_nobody_up(before: Duration) {
    let fleet = Fleet::start(8, 2, |index| match index {
        0 => vec![1],
        1 => vec![0],
        _ => vec![0, 1],
    });
    fleet.until(|view| view.status == Status::Current).await;
    fleet.publish(0).await;
    fleet.ways[0].is_cut.store(true, Ordering::SeqCst);
    sleep(before).await;
    let took = fleet.publish(1).await;
    assert!(took <= IN_FORCE, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_reader_that_is_cut_off_gets_all_news_through_another() {
    let fleet = Fleet::start(2, 2, |index| vec![1 - index]);
    fleet.until(|view| view.status == Status::Current).await;
    fleet.publish(0).await;
    fleet.ways[0].is_cut.store(true, Ordering::SeqCst);
    sleep(Duration::from_mins(1)).await;
    for version in 1..40 {
        let took = fleet.publish(version).await;
        assert!(took <= IN_FORCE, "version {version}: {took:?}");
        // Long enough for pauses that grow with quiet reads to show.
        sleep(Duration::from_millis(17_300)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_ring_without_a_reader_still_gets_the_news() {
    let fleet = Fleet::start(6, 0, |index| vec![(index + 1) % 6]);
    fleet.until(|view| view.status == Status::Current).await;
    for version in 0..20 {
        let took = fleet.publish(version).await;
        assert!(took <= IN_FORCE, "{took:?}");
        sleep(Duration::from_millis(1700)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn peers_find_out_that_the_log_lost_everything() {
    let fleet = Fleet::start(6, 2, |index| vec![(index + 1) % 2, index % 2]);
    fleet.publish(0).await;
    fleet.publish(1).await;
    fleet.shared.reset();
    fleet.until(|view| view.state.life >= 1).await;
    fleet.until(|view| view.state.version() == 2).await;
    let took = fleet.publish(2).await;
    assert!(took <= IN_FORCE, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_told_and_its_end_noticed() {
    let fleet = Fleet::start(6, 2, |index| vec![(index + 1) % 2, index % 2]);
    fleet.publish(0).await;
    for way in &fleet.ways {
        way.is_cut.store(true, Ordering::SeqCst);
    }
    fleet
        .until(|view| matches!(view.status, Status::Away(_)))
        .await;
    sleep(Duration::from_mins(10)).await;
    for way in &fleet.ways {
        way.is_cut.store(false, Ordering::SeqCst);
    }
    fleet.until(|view| view.status == Status::Current).await;
    let took = fleet.publish(1).await;
    assert!(took <= IN_FORCE, "{took:?}");
}

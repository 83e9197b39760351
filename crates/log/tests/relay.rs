//! Tests followers that read the log through each other, on a paused clock.

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

/// The target for the time until a manifest is in force everywhere.
const IN_FORCE_MAX: Duration = Duration::from_secs(3);

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

/// The log that all daemons read.
struct SharedLog {
    entries: Mutex<Vec<Entry>>,
    end: watch::Sender<usize>,
}

/// One daemon's client of the log, which a partition may cut off.
struct LogClient {
    shared: Arc<SharedLog>,
    is_partitioned: AtomicBool,
}

impl SharedLog {
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

    /// Removes all records.
    fn reset(&self) {
        self.entries.lock().unwrap().clear();
        self.end.send_replace(0);
    }
}

impl Log for LogClient {
    async fn append(&self, _: &str, bytes: Vec<u8>) -> Result<LogOffset, Report<Error>> {
        self.shared.push(bytes);
        Ok(0)
    }

    async fn read(&self, _: &str, from: LogOffset, wait: Duration) -> Result<Batch, Report<Error>> {
        let mut end = self.shared.end.subscribe();
        let from = usize::try_from(from).unwrap();
        let _ = timeout(wait, end.wait_for(|end| *end > from)).await;
        if self.is_partitioned.load(Ordering::SeqCst) {
            // A network that drops all packets causes a timeout, not an error.
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

/// The peers that one daemon may read from; it changes to the next one after a stale one.
#[derive(Default)]
struct Peers {
    is_reader: bool,
    sources: OnceLock<Vec<Held>>,
    current: AtomicUsize,
    avoided: AtomicUsize,
}

impl Peers {
    fn source(&self) -> Result<&Held, Report<Error>> {
        let sources = self.sources.get().map_or(&[][..], Vec::as_slice);
        let index = self
            .current
            .load(Ordering::SeqCst)
            .checked_rem(sources.len());
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
        self.current.fetch_add(1, Ordering::SeqCst);
        self.avoided.fetch_add(1, Ordering::SeqCst);
    }

    async fn snapshot(&self) -> Result<Snapshot, Report<Error>> {
        self.source()?.snapshot()
    }
}

/// Daemons, the first of which read the log directly.
struct Fleet {
    shared: Arc<SharedLog>,
    clients: Vec<Arc<LogClient>>,
    peers: Vec<Arc<Peers>>,
    followers: Vec<Follower>,
}

impl Fleet {
    /// Starts `count` daemons, of which the first `readers` read the log; `sources` gives the
    /// indices of the daemons that a daemon may read from.
    fn start(count: usize, readers: usize, sources: impl Fn(usize) -> Vec<usize>) -> Self {
        let shared = SharedLog::new();
        let mut fleet = Self {
            shared: shared.clone(),
            clients: Vec::new(),
            peers: Vec::new(),
            followers: Vec::new(),
        };
        for index in 0..count {
            let client = Arc::new(LogClient {
                shared: shared.clone(),
                is_partitioned: AtomicBool::new(false),
            });
            let peers = Arc::new(Peers {
                is_reader: index < readers,
                ..Peers::default()
            });
            let settings = Settings::new(Source::Chosen).with_writer(format!("d{index}"));
            let metrics = Metrics::default();
            let follower = Follower::start_with(client.clone(), peers.clone(), settings, metrics);
            fleet.clients.push(client);
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

    /// Waits until a condition holds for every follower and returns the time that it took.
    async fn until(&self, condition: impl Fn(&View) -> bool) -> Duration {
        let start = Instant::now();
        for follower in &self.followers {
            let mut view = follower.view();
            view.wait_for(|view| condition(view)).await.unwrap();
        }
        start.elapsed()
    }

    async fn publish(&self, replaces: u64) -> Duration {
        self.shared.publish(replaces);
        self.until(|view| view.state.version() > replaces).await
    }
}

#[tokio::test(start_paused = true)]
async fn records_pass_through_a_reader_at_once() {
    let fleet = Fleet::start(8, 1, |_| vec![0]);
    fleet.until(|view| view.status == Status::Current).await;
    fleet.publish(0).await;
    sleep(Duration::from_mins(1)).await;
    assert!(fleet.publish(1).await < Duration::from_millis(100));
    let avoided = |peers: &Arc<Peers>| peers.avoided.load(Ordering::SeqCst);
    assert_eq!(fleet.peers.iter().map(avoided).sum::<usize>(), 0);
}

#[test_case(Duration::ZERO; "just partitioned")]
#[test_case(Duration::from_millis(700); "soon after")]
#[test_case(Duration::from_mins(10); "partitioned for long")]
#[tokio::test(start_paused = true)]
async fn a_partitioned_reader_delays_no_follower(partitioned_for: Duration) {
    let fleet = Fleet::start(8, 2, |index| match index {
        0 => vec![1],
        1 => vec![0],
        _ => vec![0, 1],
    });
    fleet.until(|view| view.status == Status::Current).await;
    fleet.publish(0).await;
    fleet.clients[0]
        .is_partitioned
        .store(true, Ordering::SeqCst);
    sleep(partitioned_for).await;
    let took = fleet.publish(1).await;
    assert!(took <= IN_FORCE_MAX, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_partitioned_reader_gets_all_records_through_another() {
    let fleet = Fleet::start(2, 2, |index| vec![1 - index]);
    fleet.until(|view| view.status == Status::Current).await;
    fleet.publish(0).await;
    fleet.clients[0]
        .is_partitioned
        .store(true, Ordering::SeqCst);
    sleep(Duration::from_mins(1)).await;
    for version in 1..40 {
        let took = fleet.publish(version).await;
        assert!(took <= IN_FORCE_MAX, "version {version}: {took:?}");
        // Long enough to reveal a backoff that grows with empty reads.
        sleep(Duration::from_millis(17_300)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_ring_without_a_reader_still_gets_all_records() {
    let fleet = Fleet::start(6, 0, |index| vec![(index + 1) % 6]);
    fleet.until(|view| view.status == Status::Current).await;
    for version in 0..20 {
        let took = fleet.publish(version).await;
        assert!(took <= IN_FORCE_MAX, "{took:?}");
        sleep(Duration::from_millis(1700)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn peers_detect_that_the_log_lost_all_records() {
    let fleet = Fleet::start(6, 2, |index| vec![(index + 1) % 2, index % 2]);
    fleet.publish(0).await;
    fleet.publish(1).await;
    fleet.shared.reset();
    fleet.until(|view| view.state.generation >= 1).await;
    fleet.until(|view| view.state.version() == 2).await;
    let took = fleet.publish(2).await;
    assert!(took <= IN_FORCE_MAX, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn an_outage_and_its_end_are_detected() {
    let fleet = Fleet::start(6, 2, |index| vec![(index + 1) % 2, index % 2]);
    fleet.publish(0).await;
    for client in &fleet.clients {
        client.is_partitioned.store(true, Ordering::SeqCst);
    }
    fleet
        .until(|view| matches!(view.status, Status::Away(_)))
        .await;
    sleep(Duration::from_mins(10)).await;
    for client in &fleet.clients {
        client.is_partitioned.store(false, Ordering::SeqCst);
    }
    fleet.until(|view| view.status == Status::Current).await;
    let took = fleet.publish(1).await;
    assert!(took <= IN_FORCE_MAX, "{took:?}");
}

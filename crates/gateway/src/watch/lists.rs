//! Reads the list of upstreams from the store.

use std::{
    pin::Pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use super::{POLL_INTERVAL, ReadMonitor};
use crate::{
    metrics::Metrics,
    view::{ReadStart, View},
};
use copperwell_assignment::clock::Clock;
use copperwell_message::HashSet;
use copperwell_routing::source::{Listing, ReadError, Source};
use futures::{StreamExt, stream::FuturesUnordered};
use spdlog::warn;
use tokio::time::{Instant, sleep_until};

/// The interval at which the list of upstreams is read.
const INTERVAL: Duration = Duration::from_millis(600);

/// The interval as a multiple of the time that a read takes, if that is longer. When all daemons start at once they
/// share the store, and reading again at once keeps those waiting that have no list yet.
const INTERVAL_RATIO: u32 = 2;

/// The longest interval, so that a draining upstream is noticed in time.
const INTERVAL_MAX: Duration = Duration::from_millis(1_500);

/// The shortest interval of a daemon that reads for others from a slow store.
const INTERVAL_MIN: Duration = Duration::from_millis(300);

/// How long a read may take before it counts as failed, and the next one need not wait for it.
const READ_TIME_MAX: Duration = Duration::from_secs(1);

/// The most reads that are in flight.
const READS_MAX: usize = 4;

/// A read in flight.
type Read<'a> = Pin<Box<dyn Future<Output = Done> + Send + 'a>>;

/// A read that has ended.
struct Done {
    start: ReadStart,
    result: Result<Listing, ReadError>,
}

/// Reads the list of upstreams from the store at an interval, forever.
///
/// While updates from the leader arrive, only the leader reads the store.
pub async fn upstreams(
    source: Arc<impl Source>,
    view: Arc<View>,
    clock: impl Clock,
    metrics: Metrics,
) {
    view.keys.wait_for_leader_lookup().await;
    let mut reader = Reader {
        monitor: ReadMonitor::new("upstreams", metrics.clone()),
        known_invalid: HashSet::default(),
        generation: None,
        pending: Vec::new(),
        next_at: Instant::now(),
        last_time: Duration::ZERO,
        view,
        metrics,
    };
    let mut reads: FuturesUnordered<Read<'_>> = FuturesUnordered::new();
    loop {
        let now = Instant::now();
        if now >= reader.next_at && reads.len() < READS_MAX && reader.is_needed() {
            let start = ReadStart {
                boot: clock.now(),
                at: now,
            };
            reader.record_start(now);
            let source = &source;
            reads.push(Box::pin(async move {
                let result = source.upstreams().await;
                Done { start, result }
            }));
        }
        let wake_at = reader.next_at.max(now + POLL_INTERVAL);
        tokio::select! {
            Some(done) = reads.next() => reader.record_end(done),
            () = sleep_until(wake_at) => reader.record_late(),
        }
    }
}

/// A read that has not ended.
struct Pending {
    started_at: Instant,
    /// Whether it counts as failed already.
    is_late: bool,
}

/// Decides when the list is read, and applies it.
struct Reader {
    view: Arc<View>,
    metrics: Metrics,
    monitor: ReadMonitor,
    known_invalid: HashSet<String>,
    /// The generation of the store that the last list is from.
    generation: Option<u64>,
    /// The reads in flight, in the order of their start.
    pending: Vec<Pending>,
    /// When the next read may start.
    next_at: Instant,
    /// How long the last read took.
    last_time: Duration,
}

impl Reader {
    /// Returns whether this daemon must read the store.
    fn is_needed(&self) -> bool {
        // A configuration that cannot be read is no reason to read the list as well.
        let is_listed = self.view.registry().read_at().is_some();
        !is_listed || self.view.must_read_upstreams()
    }

    fn record_start(&mut self, now: Instant) {
        self.pending.push(Pending {
            started_at: now,
            is_late: false,
        });
        self.record_reading();
        self.next_at = match self.reads_for_others() {
            true => now + self.interval(self.last_time),
            false => now + READ_TIME_MAX + self.monitor.retry_delay(),
        };
    }

    /// Takes reads for failed that take too long. Their lists are applied nevertheless if they arrive.
    fn record_late(&mut self) {
        for read in &mut self.pending {
            if !read.is_late && read.started_at.elapsed() >= READ_TIME_MAX {
                read.is_late = true;
                self.monitor.record_failure("it has not answered in time");
                self.view.record_list_failure();
            }
        }
    }

    fn record_end(&mut self, done: Done) {
        self.record_late();
        let Done { start, result } = done;
        let is_this = |read: &Pending| read.started_at == start.at;
        let is_latest = self.pending.last().is_some_and(is_this);
        let was_late = self.pending.iter().find(|read| is_this(read));
        let was_late = was_late.is_some_and(|read| read.is_late);
        self.pending.retain(|read| !is_this(read));
        self.record_reading();
        self.last_time = start.at.elapsed();
        match result {
            Ok(listing) => {
                if !was_late {
                    self.monitor.record_success();
                }
                self.apply(listing, start);
                if is_latest {
                    self.next_at = start.at + self.interval(self.last_time);
                }
            }
            Err(error) => {
                if !was_late {
                    self.monitor.record_failure(&error.message);
                    self.view.record_list_failure();
                }
                if is_latest {
                    self.next_at = Instant::now() + self.monitor.retry_delay();
                }
            }
        }
    }

    fn apply(&mut self, listing: Listing, start: ReadStart) {
        let known = self.generation.replace(listing.generation);
        if known.is_some_and(|known| known != listing.generation) {
            warn!("store has come back from a copy", kv: { dependency = "store", event = "store-copy", generation = listing.generation });
            // What was registered since the copy is about to be written again.
            self.view.record_list_failure();
        }
        log_invalid_registrations(&listing, &mut self.known_invalid, &self.metrics);
        self.view.update_upstreams(listing.upstreams, start);
        let count = self.view.registry().len();
        self.metrics
            .upstreams
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Returns the time from the start of a read, which took `elapsed`, to the next one.
    ///
    /// A daemon that reads for others does not wait for a slow store: the age of all their lists is the time that a read
    /// takes and this interval.
    fn interval(&self, elapsed: Duration) -> Duration {
        if !self.reads_for_others() {
            return (elapsed * INTERVAL_RATIO).clamp(INTERVAL, INTERVAL_MAX);
        }
        let ask = self.view.list_ages().ask;
        let usual = INTERVAL.min(ask / 2);
        ask.saturating_sub(elapsed)
            .clamp(INTERVAL_MIN.min(usual), usual)
    }

    fn reads_for_others(&self) -> bool {
        let keys = &self.view.keys;
        keys.reads_for_others.load(Ordering::Relaxed)
    }

    fn record_reading(&self) {
        let first = self.pending.first();
        self.view.record_reading(first.map(|read| read.started_at));
    }
}

/// Counts invalid registrations and logs each of them once.
fn log_invalid_registrations(
    listing: &Listing,
    known_invalid: &mut HashSet<String>,
    metrics: &Metrics,
) {
    for name in &listing.invalid {
        metrics.invalid_registrations.inc();
        if known_invalid.insert(name.clone()) {
            warn!("invalid registration ignored", kv: { event = "registration-unreadable", server = name.as_str() });
        }
    }
    known_invalid.retain(|name| listing.invalid.contains(name));
}

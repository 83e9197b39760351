//! Keeps a daemon's view of the configuration and the upstreams up to date.

use std::{sync::Arc, time::Duration};

use crate::{
    metrics::{Metrics, SourceLabel},
    view::{ReadStart, View, list::ListAge},
};
use copperwell_assignment::clock::Clock;
use copperwell_message::HashSet;
use copperwell_policy::backoff::Backoff;
use copperwell_routing::{
    registry::Changes,
    source::{Listing, ReadError, Source},
};
use spdlog::{info, warn};
use tokio::time::{Instant, sleep, sleep_until};

/// How long a read waits for a newer configuration.
///
/// A read that starts while a configuration is being written may return it only after the whole wait, and a
/// configuration must be in force at all daemons within two seconds.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);

/// The delay after a failed read, which doubles with each further failure.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The largest delay after a failed read.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);

/// The interval at which the list of upstreams is read.
const LIST_INTERVAL: Duration = Duration::from_millis(600);

/// The interval as a multiple of the time that a read takes, if that is longer. When all daemons start at once they
/// share the store, and reading again at once keeps those waiting that have no list yet.
const LIST_INTERVAL_RATIO: u32 = 2;

/// The longest interval, so that a draining upstream is noticed in time.
const LIST_INTERVAL_MAX: Duration = Duration::from_millis(1_500);

/// The largest age of the leader's news before a daemon reads the configuration itself.
const LEADER_NEWS_AGE_MAX: Duration = Duration::from_millis(1_400);

/// How long a daemon waits for a part of a newer configuration from other daemons before it reads the store
/// itself.
const TRANSFER_PATIENCE: Duration = Duration::from_secs(1);

/// The interval at which a daemon checks whether it must read the store itself.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reads new configurations from the store, forever.
///
/// While updates from the leader arrive, the store is read only if a newer configuration that the leader
/// announces does not arrive from other daemons.
pub async fn configurations(source: Arc<impl Source>, view: Arc<View>, metrics: Metrics) {
    let mut monitor = ReadMonitor::new("configuration", metrics.clone());
    view.keys.wait_for_leader_lookup().await;
    loop {
        while !view.must_read_configuration(LEADER_NEWS_AGE_MAX, TRANSFER_PATIENCE) {
            sleep(POLL_INTERVAL).await;
        }
        let above = view.configuration().map(|known| known.version);
        let wait = match view.is_configuration_stale() {
            true => Duration::ZERO,
            false => CONFIGURATION_WAIT,
        };
        let result = source.configuration(above, wait).await;
        let read = monitor.record(result);
        if read.is_some() {
            view.record_configuration_read();
        }
        match read {
            Some(Some(configuration)) => {
                view.update_configuration(configuration);
            }
            Some(None) if above.is_none() => sleep(RETRY_DELAY).await,
            Some(None) if wait.is_zero() => sleep(POLL_INTERVAL).await,
            Some(None) => {}
            None => sleep(monitor.retry_delay()).await,
        }
    }
}

/// Reads the list of upstreams from the store at a fixed interval, forever.
///
/// While updates from the leader arrive, only the leader reads the store.
pub async fn upstreams(
    source: Arc<impl Source>,
    view: Arc<View>,
    clock: impl Clock,
    metrics: Metrics,
) {
    let mut monitor = ReadMonitor::new("upstreams", metrics.clone());
    let mut known_invalid: HashSet<String> = HashSet::default();
    let mut generation = None;
    view.keys.wait_for_leader_lookup().await;
    loop {
        while view.is_complete() && !view.must_read_upstreams() {
            sleep(POLL_INTERVAL).await;
        }
        let started_at = Instant::now();
        let start = ReadStart {
            boot: clock.now(),
            at: started_at,
        };
        view.record_reading(Some(started_at));
        let result = source.upstreams().await;
        view.record_reading(None);
        let interval = list_interval(started_at.elapsed());
        let Some(listing) = monitor.record(result) else {
            view.record_list_failure();
            sleep(monitor.retry_delay()).await;
            continue;
        };
        let known = generation.replace(listing.generation);
        if known.is_some_and(|known| known != listing.generation) {
            warn!("store has come back from a copy", kv: { dependency = "store", event = "store-copy", generation = listing.generation });
            // What was registered since the copy is about to be written again.
            view.record_list_failure();
        }
        log_invalid_registrations(&listing, &mut known_invalid, &metrics);
        view.update_upstreams(listing.upstreams, start);
        let count = view.registry().len();
        metrics
            .upstreams
            .set(i64::try_from(count).unwrap_or(i64::MAX));
        sleep_until(started_at + interval).await;
    }
}

/// Returns the time from the start of a read of the list, which took `elapsed`, to the next one.
fn list_interval(elapsed: Duration) -> Duration {
    (elapsed * LIST_INTERVAL_RATIO).clamp(LIST_INTERVAL, LIST_INTERVAL_MAX)
}

/// Counts failed reads of the store, and logs when reads start to fail and when they succeed again.
struct ReadMonitor {
    /// The name of the data that is read, for logs and metrics.
    resource: &'static str,
    metrics: Metrics,
    /// Consecutive failed reads.
    failures: u32,
}

impl ReadMonitor {
    fn new(resource: &'static str, metrics: Metrics) -> Self {
        Self {
            resource,
            metrics,
            failures: 0,
        }
    }

    /// Returns the delay before the next read.
    fn retry_delay(&self) -> Duration {
        Backoff::new(RETRY_DELAY, RETRY_DELAY_MAX).bound(self.failures)
    }

    fn record<T>(&mut self, result: Result<T, ReadError>) -> Option<T> {
        let what = self.resource;
        match result {
            Ok(read) => {
                if std::mem::take(&mut self.failures) > 0 {
                    info!("store is reachable again", kv: { dependency = "store", what });
                }
                Some(read)
            }
            Err(error) => {
                let label = SourceLabel { what };
                self.metrics.read_failures.get_or_create(&label).inc();
                self.failures = self.failures.saturating_add(1);
                if self.failures == 1 {
                    warn!("cannot read the store", kv: { dependency = "store", what, why = error.message.as_str() });
                }
                None
            }
        }
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

/// Logs the changes between two lists of upstreams.
pub(crate) fn log_changes(changes: &Changes, list: ListAge) {
    let source = list.origin.as_str();
    let (age_ms, before_ms) = (age_ms(list.age), age_ms(list.before));
    for upstream in &changes.joined {
        info!("upstream joined", kv: { event = "joined", server = &*upstream.id, service = &*upstream.service, zone = &*upstream.zone, born = upstream.born, slots = upstream.slots, source, age_ms, before_ms });
    }
    for upstream in &changes.draining {
        info!("upstream is draining", kv: { event = "draining", server = &*upstream.id, service = &*upstream.service, source, age_ms, before_ms });
    }
    for upstream in &changes.gone {
        info!("upstream removed", kv: { event = "gone", server = &*upstream.id, service = &*upstream.service, source, age_ms, before_ms });
    }
    if changes.kept > 0 {
        info!("missing upstreams kept: their registrations may be renewed", kv: { event = "kept", count = changes.kept });
    }
}

/// Returns the age of a list in milliseconds, for logs; -1 if there was no list.
pub(crate) fn age_ms(age: Option<Duration>) -> i64 {
    age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
}

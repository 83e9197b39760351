//! Keeps what a daemon believes up to date.

use std::{sync::Arc, time::Duration};

use crate::{
    beliefs::Beliefs,
    metrics::{Metrics, SourceLabel},
};
use copperwell_assignment::clock::Clock;
use copperwell_message::HashSet;
use copperwell_policy::backoff::Backoff;
use copperwell_routing::{
    registry::Changes,
    source::{Listing, Source, Unread},
};
use spdlog::{info, warn};
use tokio::time::{Instant, sleep, sleep_until};

/// How long a reading waits for a newer configuration.
///
/// A reading that begins while one is being written may hear of it only when its wait is over, and it
/// must be in force everywhere within two seconds.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);

/// How long after a failed reading the next one follows; twice as long after each further one.
const RETRY: Duration = Duration::from_millis(250);

/// How long at most.
const RETRY_MAX: Duration = Duration::from_secs(1);

/// How often the list of upstreams is read by a daemon that reads it.
const LIST_TIME: Duration = Duration::from_millis(600);

/// How old news from the leader may be before a daemon reads the store itself.
const NEWS_AGE_MAX: Duration = Duration::from_millis(1_400);

/// How often a daemon that hears from the leader looks whether it still does.
const LOOK: Duration = Duration::from_millis(100);

/// Reads configurations as they come, for ever.
///
/// A daemon that hears from the leader reads only what the leader says is there.
pub async fn configurations(source: Arc<impl Source>, beliefs: Arc<Beliefs>, metrics: Metrics) {
    let mut reader = Reader::new("configuration", metrics.clone());
    beliefs.keys.has_looked().await;
    loop {
        let above = beliefs.configuration().map(|known| known.version);
        while above.is_some() && !beliefs.must_read_configuration(NEWS_AGE_MAX) {
            sleep(LOOK).await;
        }
        let wait = match beliefs.hears_newer_configuration() {
            true => Duration::ZERO,
            false => CONFIGURATION_WAIT,
        };
        let read = source.configuration(above, wait).await;
        let read = reader.note(read);
        if read.is_some() {
            beliefs.note_configuration_read();
        }
        match read {
            Some(Some(configuration)) => {
                beliefs.take_configuration(configuration);
            }
            Some(None) if above.is_none() => sleep(RETRY).await,
            Some(None) if wait.is_zero() => sleep(LOOK).await,
            Some(None) => {}
            None => sleep(reader.retry()).await,
        }
    }
}

/// Reads the list of upstreams at a steady pace, for ever.
///
/// A daemon that hears from the leader leaves the reading to it.
pub async fn upstreams(
    source: Arc<impl Source>,
    beliefs: Arc<Beliefs>,
    clock: impl Clock,
    metrics: Metrics,
) {
    let mut reader = Reader::new("upstreams", metrics.clone());
    let mut unreadable: HashSet<String> = HashSet::default();
    beliefs.keys.has_looked().await;
    loop {
        while beliefs.is_complete() && !beliefs.must_read_upstreams(NEWS_AGE_MAX) {
            sleep(LOOK).await;
        }
        let listed_at = clock.now();
        let began = Instant::now();
        let read = source.upstreams().await;
        let Some(listing) = reader.note(read) else {
            beliefs.miss_upstreams();
            sleep(reader.retry()).await;
            continue;
        };
        note_unreadable(&listing, &mut unreadable, &metrics);
        let changes = beliefs.take_upstreams(listing.upstreams, listed_at);
        let count = beliefs.registry().len();
        metrics
            .upstreams
            .set(i64::try_from(count).unwrap_or(i64::MAX));
        log(&changes);
        sleep_until(began + LIST_TIME).await;
    }
}

/// Tells when a dependency is lost and when it is back.
struct Reader {
    what: &'static str,
    metrics: Metrics,
    /// Readings in a row that failed.
    failures: u32,
}

impl Reader {
    fn new(what: &'static str, metrics: Metrics) -> Self {
        Self {
            what,
            metrics,
            failures: 0,
        }
    }

    /// How long after the last failed reading the next one follows.
    fn retry(&self) -> Duration {
        Backoff::new(RETRY, RETRY_MAX).bound(self.failures)
    }

    fn note<T>(&mut self, read: Result<T, Unread>) -> Option<T> {
        let what = self.what;
        match read {
            Ok(read) => {
                if std::mem::take(&mut self.failures) > 0 {
                    info!("the store answers again", kv: { dependency = "store", what });
                }
                Some(read)
            }
            Err(unread) => {
                let label = SourceLabel { what };
                self.metrics.unread.get_or_create(&label).inc();
                self.failures = self.failures.saturating_add(1);
                if self.failures == 1 {
                    warn!("the store does not answer", kv: { dependency = "store", what, why = unread.why.as_str() });
                }
                None
            }
        }
    }
}

/// Logs each registration that cannot be understood once.
fn note_unreadable(listing: &Listing, known: &mut HashSet<String>, metrics: &Metrics) {
    for name in &listing.unreadable {
        metrics.unreadable.inc();
        if known.insert(name.clone()) {
            warn!("a registration cannot be understood and is passed over", kv: { event = "registration-unreadable", server = name.as_str() });
        }
    }
    known.retain(|name| listing.unreadable.contains(name));
}

/// Logs what a new list changed.
pub(crate) fn log(changes: &Changes) {
    for upstream in &changes.joined {
        info!("an upstream joined", kv: { event = "joined", server = &*upstream.id, service = &*upstream.service, zone = &*upstream.zone, born = upstream.born, slots = upstream.slots });
    }
    for upstream in &changes.draining {
        info!("an upstream drains", kv: { event = "draining", server = &*upstream.id, service = &*upstream.service });
    }
    for upstream in &changes.gone {
        info!("an upstream is gone", kv: { event = "gone", server = &*upstream.id, service = &*upstream.service });
    }
    if changes.kept > 0 {
        info!("upstreams that the list lacks are kept for now", kv: { event = "kept", count = changes.kept });
    }
}

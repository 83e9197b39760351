//! Keeps a daemon's view of the configuration and the upstreams up to date.

use std::{sync::Arc, time::Duration};

use crate::{
    metrics::{Metrics, SourceLabel},
    view::View,
};
use copperwell_policy::backoff::Backoff;
use copperwell_routing::source::{ReadError, Source};
use spdlog::{info, warn};
use tokio::time::sleep;

pub use lists::upstreams;
pub use reach::paths;

mod lists;
mod reach;

/// How long a read waits for a newer configuration.
///
/// A read that starts while a configuration is being written may return it only after the whole wait, and a
/// configuration must be in force at all daemons within two seconds.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);

/// The delay after a failed read, which doubles with each further failure.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The largest delay after a failed read.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);

/// The largest age of the leader's last update before a daemon reads the configuration itself.
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
        // Without a configuration the store is asked to wait for one, which costs fewer calls than to poll it.
        let wait = match above.is_some() && view.is_configuration_stale() {
            true => Duration::ZERO,
            false => CONFIGURATION_WAIT,
        };
        let result = source.configuration(above, wait).await;
        // An unreadable configuration may have been read with evacuations.
        if let Some(evacuations) = source.evacuations() {
            view.update_evacuations(&evacuations);
        }
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
        match result {
            Ok(read) => {
                self.record_success();
                Some(read)
            }
            Err(error) => {
                self.record_failure(&error.message);
                None
            }
        }
    }

    fn record_success(&mut self) {
        let what = self.resource;
        if std::mem::take(&mut self.failures) > 0 {
            info!("store is reachable again", kv: { dependency = "store", what });
        }
    }

    fn record_failure(&mut self, why: &str) {
        let what = self.resource;
        let label = SourceLabel { what };
        self.metrics.read_failures.get_or_create(&label).inc();
        self.failures = self.failures.saturating_add(1);
        if self.failures == 1 {
            warn!("cannot read the store", kv: { dependency = "store", what, why });
        }
    }
}

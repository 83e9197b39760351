//! Requests in flight, and requests queued until capacity becomes available.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use crate::view::View;
use copperwell_message::HashMap;
use copperwell_routing::{UpstreamId, load::Outcome};
use prometheus_client::metrics::gauge::Gauge;
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

/// Notifies the requests that are queued for capacity at an upstream, and counts them.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    notifiers: Mutex<HashMap<UpstreamId, Arc<Notify>>>,
    /// Requests queued for capacity or for a holder of their key.
    queued: Gauge,
}

/// Counts a request as queued until it is dropped.
#[derive(Debug)]
pub(crate) struct QueuedGuard<'a>(&'a Gauge);

/// A request in flight, which counts as cancelled if it is dropped before [`InFlight::end`].
#[derive(Debug)]
pub(crate) struct InFlight {
    view: Arc<View>,
    queues: Arc<Queues>,
    id: UpstreamId,
    started_at: Instant,
    outcome: Outcome,
}

impl Queues {
    /// Creates empty queues; `queued` counts the queued requests.
    pub(crate) fn new(queued: Gauge) -> Self {
        Self {
            notifiers: Mutex::default(),
            queued,
        }
    }

    /// Counts a request as queued.
    pub(crate) fn enter(&self) -> QueuedGuard<'_> {
        self.queued.inc();
        QueuedGuard(&self.queued)
    }

    /// Waits until a request at an upstream has ended or `deadline` has passed.
    pub(crate) async fn wait(&self, id: &UpstreamId, deadline: Instant) {
        let notify = self.notifier_of(id);
        let _ = timeout_at(deadline, notify.notified()).await;
    }

    /// Records the start of a request at an upstream.
    pub(crate) fn start(self: &Arc<Self>, view: &Arc<View>, id: &UpstreamId) -> InFlight {
        let started_at = Instant::now();
        view.loads().record_start(id, started_at);
        InFlight {
            view: view.clone(),
            queues: self.clone(),
            id: id.clone(),
            started_at,
            outcome: Outcome::Cancelled,
        }
    }

    /// Removes the notifiers of upstreams for which no request is queued.
    pub(crate) fn remove_unused(&self) {
        let mut notifiers = self
            .notifiers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        notifiers.retain(|_, notify| Arc::strong_count(notify) > 1);
    }

    fn notifier_of(&self, id: &UpstreamId) -> Arc<Notify> {
        let mut notifiers = self
            .notifiers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        notifiers.entry(id.clone()).or_default().clone()
    }

    /// Wakes a request that is queued for capacity at an upstream.
    pub(crate) fn notify_one(&self, id: &UpstreamId) {
        let notifiers = self
            .notifiers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(notify) = notifiers.get(id) {
            notify.notify_one();
        }
    }
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        self.0.dec();
    }
}

impl InFlight {
    /// Records the end of the request and returns how long it took.
    pub(crate) fn end(mut self, outcome: Outcome) -> Duration {
        self.outcome = outcome;
        self.started_at.elapsed()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(self.started_at);
        let mut loads = self.view.loads();
        loads.record_end(&self.id, self.outcome, elapsed, now);
        drop(loads);
        self.queues.notify_one(&self.id);
    }
}

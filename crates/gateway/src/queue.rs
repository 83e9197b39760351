//! Requests in flight, and those that wait for one of them to end.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use crate::beliefs::Beliefs;
use copperwell_message::HashMap;
use copperwell_routing::{UpstreamId, load::End};
use prometheus_client::metrics::gauge::Gauge;
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

/// Who waits for room at which upstream.
#[derive(Debug, Default)]
pub(crate) struct Rooms {
    waiting: Mutex<HashMap<UpstreamId, Arc<Notify>>>,
    /// Requests that wait, for room or for a holder of their key.
    queue: Gauge,
}

/// A request that waits; dropped, it does not any more.
#[derive(Debug)]
pub(crate) struct Waiting<'a>(&'a Gauge);

/// A request in flight; dropped before it is ended, it counts as cancelled.
#[derive(Debug)]
pub(crate) struct Flight {
    beliefs: Arc<Beliefs>,
    rooms: Arc<Rooms>,
    id: UpstreamId,
    began: Instant,
    end: End,
}

impl Rooms {
    /// Rooms whose waiting requests `queue` counts.
    pub(crate) fn new(queue: Gauge) -> Self {
        Self {
            waiting: Mutex::default(),
            queue,
        }
    }

    /// Counts a request that waits.
    pub(crate) fn queue(&self) -> Waiting<'_> {
        self.queue.inc();
        Waiting(&self.queue)
    }

    /// Waits until a request at an upstream has ended, at most until `until`.
    pub(crate) async fn wait(&self, id: &UpstreamId, until: Instant) {
        let notify = self.of(id);
        let _ = timeout_at(until, notify.notified()).await;
    }

    /// Begins a request at an upstream.
    pub(crate) fn begin(self: &Arc<Self>, beliefs: &Arc<Beliefs>, id: &UpstreamId) -> Flight {
        let began = Instant::now();
        beliefs.loads().begin(id, began);
        Flight {
            beliefs: beliefs.clone(),
            rooms: self.clone(),
            id: id.clone(),
            began,
            end: End::Cancelled,
        }
    }

    /// Forgets upstreams at which nobody waits.
    pub(crate) fn tidy(&self) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.retain(|_, notify| Arc::strong_count(notify) > 1);
    }

    fn of(&self, id: &UpstreamId) -> Arc<Notify> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.entry(id.clone()).or_default().clone()
    }

    fn wake(&self, id: &UpstreamId) {
        let waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(notify) = waiting.get(id) {
            notify.notify_one();
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.dec();
    }
}

impl Flight {
    /// Ends the request.
    pub(crate) fn end(mut self, end: End) -> Duration {
        self.end = end;
        self.began.elapsed()
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(self.began);
        let mut loads = self.beliefs.loads();
        loads.end(&self.id, self.end, elapsed, now);
        drop(loads);
        self.rooms.wake(&self.id);
    }
}

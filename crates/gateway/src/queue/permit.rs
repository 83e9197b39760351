//! Permits, which release the capacity of their upstream on drop.

use std::{sync::Arc, time::Duration};

use super::{QueueId, Queues, capacity::accepts_request};
use crate::view::View;
use copperwell_routing::{UpstreamId, load::Outcome};
use tokio::time::Instant;

/// The right to have one request in flight at an upstream, which is released on drop.
#[derive(Debug)]
pub(crate) struct Permit {
    view: Arc<View>,
    queues: Arc<Queues>,
    queue: QueueId,
    id: UpstreamId,
    work: Duration,
    started_at: Instant,
    is_sent: bool,
    outcome: Outcome,
}

/// A request in flight, which counts as cancelled if it is dropped before [`InFlight::end`].
#[derive(Debug)]
pub(crate) struct InFlight(Permit);

impl Permit {
    pub(super) fn new(
        queues: &Arc<Queues>,
        view: &Arc<View>,
        queue: QueueId,
        id: UpstreamId,
        work: Duration,
    ) -> Self {
        Self {
            view: view.clone(),
            queues: queues.clone(),
            queue,
            id,
            work,
            started_at: Instant::now(),
            is_sent: false,
            outcome: Outcome::Cancelled,
        }
    }

    /// Marks the request as sent and starts the measurement of its latency.
    pub(crate) fn start(mut self) -> InFlight {
        self.started_at = Instant::now();
        self.is_sent = true;
        InFlight(self)
    }
}

impl InFlight {
    /// Records the end of the request and returns how long it took.
    pub(crate) fn end(mut self, outcome: Outcome) -> Duration {
        self.0.outcome = outcome;
        self.0.started_at.elapsed()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(self.started_at);
        let mut loads = self.view.loads();
        loads.record_end(&self.id, self.outcome, elapsed, now);
        drop(loads);
        if self.is_sent {
            self.queues.record_release(&self.queue, self.work);
        }
        let accepts_request = {
            let registry = self.view.registry();
            let upstream = registry.get(&self.id);
            upstream.is_some_and(|upstream| accepts_request(&self.view.loads(), upstream, now))
        };
        if accepts_request {
            self.queues.start_round(&self.view, &self.queue);
        }
    }
}

//! Reservations of requests to upstreams that warm up: the schedule that the leader keeps, and the way to it.
//!
//! A daemon that gets no reservation sends nothing there, so there is no schedule without a leader.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::exchange::{Client, ReserveError};
use copperwell_message::HashMap;
use copperwell_routing::{
    UpstreamId,
    warmup::{Limit, RESERVATION_TTL, Schedules},
};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, sleep_until, timeout},
};

/// How often at most a connection to the leader is opened. An earlier release closes it on the unknown call.
const CONNECT_INTERVAL: Duration = Duration::from_secs(1);

/// How long a request waits until the connection to the leader is open.
const CONNECT_PATIENCE: Duration = Duration::from_millis(200);

/// The most upstreams of which this daemon remembers that they have no room.
const FULL_MAX: usize = 4_096;

/// A request for a reservation, as it is sent to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The upstream that warms up.
    pub upstream: UpstreamId,
    /// Its limit.
    pub limit: Limit,
    /// How long the request can wait.
    pub patience: Duration,
}

/// The right to send one request to an upstream that warms up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    upstream: UpstreamId,
    due: Instant,
    expires_at: Instant,
}

/// Why there is no reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// The leader has none within the patience, but one after this time.
    Full(Duration),
    /// No leader answers.
    NoLeader,
}

/// The reservations of a daemon, and those of all daemons while it leads.
#[derive(Debug, Default)]
pub struct SharedWarmups {
    schedules: Mutex<Schedules>,
    leads: AtomicBool,
    /// The connection to the leader that this daemon follows, until it fails.
    client: watch::Sender<Option<Arc<Client>>>,
    /// Signals that a connection is needed.
    wanted: Notify,
    /// Until when the leader has no room for another request to an upstream.
    full_until: Mutex<HashMap<UpstreamId, Instant>>,
    reservations: Family<OutcomeLabel, Counter>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

impl Reservation {
    /// Returns whether the request may be sent now.
    #[must_use]
    pub fn is_valid(&self, upstream: &str, now: Instant) -> bool {
        *self.upstream == *upstream && self.due <= now && now <= self.expires_at
    }

    /// Waits until the request is due.
    pub async fn wait_due(&self) {
        sleep_until(self.due).await;
    }
}

impl SharedWarmups {
    /// Registers the metrics in `registry`.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("gateway");
        registry.register(
            "warmup_reservations",
            "Requests to upstreams that warm up, by whether the leader had room for them",
            self.reservations.clone(),
        );
    }

    /// Returns whether this daemon leads, and thus schedules the requests of all.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        self.leads.load(Ordering::Relaxed)
    }

    /// Reserves a request to an upstream that warms up, if it is due within `patience`.
    ///
    /// # Errors
    ///
    /// [`Refused`] if it is not, or if no leader answers.
    pub async fn acquire(
        &self,
        upstream: &UpstreamId,
        limit: Limit,
        patience: Duration,
    ) -> Result<Reservation, Refused> {
        let result = self.ask(upstream, limit, patience).await;
        let outcome = match &result {
            Ok(_) => "reserved",
            Err(Refused::Full(_)) => "full",
            Err(Refused::NoLeader) => "no-leader",
        };
        self.reservations
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
        result
    }

    async fn ask(
        &self,
        upstream: &UpstreamId,
        limit: Limit,
        patience: Duration,
    ) -> Result<Reservation, Refused> {
        let asked_at = Instant::now();
        if let Some(until) = self.full_until().get(upstream)
            && asked_at + patience < *until
        {
            return Err(Refused::Full(until.saturating_duration_since(asked_at)));
        }
        let request = Request {
            upstream: upstream.clone(),
            limit,
            patience,
        };
        let result = match self.reserve_for(&request) {
            Some(result) => result,
            None => self.ask_leader(request).await.ok_or(Refused::NoLeader)?,
        };
        let wait = result.map_err(|wait| {
            self.record_full(upstream, asked_at + wait);
            Refused::Full(wait)
        })?;
        // The leader has counted from a time between these two.
        Ok(Reservation {
            upstream: upstream.clone(),
            due: Instant::now() + wait,
            expires_at: asked_at + wait + RESERVATION_TTL,
        })
    }

    async fn ask_leader(&self, request: Request) -> Option<Result<Duration, Duration>> {
        let client = self.client().await?;
        match client.reserve_warmup(request).await {
            Ok(result) => result,
            Err(ReserveError::TimedOut) => None,
            Err(ReserveError::Closed) => {
                // Requests that were waiting on the same connection fail together.
                self.client.send_if_modified(|known| {
                    let is_current = known.as_ref().is_some_and(|one| Arc::ptr_eq(one, &client));
                    if is_current {
                        *known = None;
                    }
                    is_current
                });
                None
            }
        }
    }

    /// Returns the connection to the leader, once it is open.
    async fn client(&self) -> Option<Arc<Client>> {
        let mut client = self.client.subscribe();
        if let Some(client) = &*client.borrow() {
            return Some(client.clone());
        }
        self.wanted.notify_one();
        let open = client.wait_for(Option::is_some);
        let open = timeout(CONNECT_PATIENCE, open).await.ok()?.ok()?;
        open.clone()
    }

    /// Reserves a request of any daemon; `None` if this daemon does not lead.
    pub(crate) fn reserve_for(&self, request: &Request) -> Option<Result<Duration, Duration>> {
        if !self.leads.load(Ordering::Acquire) {
            return None;
        }
        let mut schedules = self.schedules();
        let now = Instant::now();
        Some(schedules.reserve(&request.upstream, request.limit, request.patience, now))
    }

    /// Sets whether this daemon leads, and so schedules the requests of all.
    ///
    /// The schedule is kept meanwhile: a daemon that leads again shortly after has not forgotten its reservations.
    pub(crate) fn set_leading(&self, leads: bool) {
        if self.leads.swap(leads, Ordering::AcqRel) != leads {
            self.full_until().clear();
        }
    }

    /// Keeps a connection to the leader while requests need one, until the future is dropped.
    pub async fn follow<F>(&self, connect: impl Fn() -> F)
    where
        F: Future<Output = Option<Client>>,
    {
        let _guard = FollowGuard(self);
        self.full_until().clear();
        loop {
            self.wanted.notified().await;
            let opened_at = Instant::now();
            if let Some(client) = connect().await {
                self.client.send_replace(Some(Arc::new(client)));
                // `self` owns the sender, so the channel stays open.
                let _ = self.client.subscribe().wait_for(Option::is_none).await;
            }
            sleep(CONNECT_INTERVAL.saturating_sub(opened_at.elapsed())).await;
        }
    }

    /// Forgets schedules that are no longer used.
    pub fn maintain(&self) {
        let now = Instant::now();
        self.schedules().retain(now);
        self.full_until().retain(|_, until| now < *until);
    }

    fn record_full(&self, upstream: &UpstreamId, until: Instant) {
        let mut full_until = self.full_until();
        if full_until.len() < FULL_MAX {
            full_until.insert(upstream.clone(), until);
        }
    }

    fn schedules(&self) -> MutexGuard<'_, Schedules> {
        self.schedules
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn full_until(&self) -> MutexGuard<'_, HashMap<UpstreamId, Instant>> {
        self.full_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes the connection to a leader that is not followed any more.
struct FollowGuard<'a>(&'a SharedWarmups);

impl Drop for FollowGuard<'_> {
    fn drop(&mut self) {
        self.0.client.send_replace(None);
        self.0.full_until().clear();
    }
}

//! Reservations of requests to upstreams that warm up: the leader's schedule, and the connection over which other
//! daemons use it.
//!
//! A daemon sends a request to such an upstream only with a reservation, so that the rate of all daemons together stays
//! within the upstream's limit. Without a leader nobody gets reservations, and nothing is sent.

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

/// The minimum interval between two connections to the leader. A leader of an earlier release closes the connection
/// when it receives the call that it does not know.
const CONNECT_INTERVAL: Duration = Duration::from_secs(1);

/// How long a request waits for the connection to the leader.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The maximum number of upstreams in [`SharedWarmups::full_until`], which bounds its memory.
const FULL_MAX: usize = 4_096;

/// A request for a reservation, as it is sent to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The limit of the upstream while it warms up.
    pub limit: Limit,
    /// The maximum time until the request is due.
    pub wait_max: Duration,
}

/// The right to send one request to an upstream that warms up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    upstream: UpstreamId,
    /// The earliest time at which the request may be sent.
    due: Instant,
    /// The latest time at which the request may be sent.
    expires_at: Instant,
}

/// Why there is no reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// No request is due soon enough; the next one is due after this time.
    Full(Duration),
    /// No leader answers.
    NoLeader,
}

/// Requests reservations from the leader, and schedules those of all daemons while this daemon leads.
#[derive(Debug, Default)]
pub struct SharedWarmups {
    /// The reservations of all daemons. Used only while this daemon leads.
    schedules: Mutex<Schedules>,
    /// Whether this daemon leads.
    leads: AtomicBool,
    /// The open connection to the leader; `None` before it is needed, and after it has failed.
    client: watch::Sender<Option<Arc<Client>>>,
    /// Signals that a connection to the leader is needed.
    connection_needed: Notify,
    /// When the next request to an upstream is due, as the leader answered last. Requests that cannot wait until then
    /// are refused without a call to the leader.
    full_until: Mutex<HashMap<UpstreamId, Instant>>,
    reservations: Family<OutcomeLabel, Counter>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

impl Reservation {
    /// Returns whether the request may be sent to `upstream` now.
    #[must_use]
    pub fn is_valid(&self, upstream: &str, now: Instant) -> bool {
        *self.upstream == *upstream && self.due <= now && now <= self.expires_at
    }

    /// Waits until the request may be sent.
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

    /// Reserves a request to an upstream that warms up, if it is due within `wait_max`.
    ///
    /// # Errors
    ///
    /// [`Refused`] if it is not due within that time, or if no leader answers.
    pub async fn acquire(
        &self,
        upstream: &UpstreamId,
        limit: Limit,
        wait_max: Duration,
    ) -> Result<Reservation, Refused> {
        let result = self.try_acquire(upstream, limit, wait_max).await;
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

    async fn try_acquire(
        &self,
        upstream: &UpstreamId,
        limit: Limit,
        wait_max: Duration,
    ) -> Result<Reservation, Refused> {
        let requested_at = Instant::now();
        if let Some(until) = self.full_until().get(upstream)
            && requested_at + wait_max < *until
        {
            return Err(Refused::Full(until.saturating_duration_since(requested_at)));
        }
        let request = Request {
            upstream: upstream.clone(),
            limit,
            wait_max,
        };
        let result = match self.reserve_for(&request) {
            Some(result) => result,
            None => self
                .reserve_at_leader(request)
                .await
                .ok_or(Refused::NoLeader)?,
        };
        let wait = result.map_err(|wait| {
            self.record_full(upstream, requested_at + wait);
            Refused::Full(wait)
        })?;
        // The leader counts `wait` from some time between `requested_at` and now. The later bound for `due` and the earlier
        // one for the expiry keep the request within the leader's window, whichever time it was.
        Ok(Reservation {
            upstream: upstream.clone(),
            due: Instant::now() + wait,
            expires_at: requested_at + wait + RESERVATION_TTL,
        })
    }

    /// Requests a reservation from the leader; `None` if it does not answer.
    async fn reserve_at_leader(&self, request: Request) -> Option<Result<Duration, Duration>> {
        let client = self.client().await?;
        match client.reserve_warmup(request).await {
            Ok(result) => result,
            Err(ReserveError::TimedOut) => None,
            Err(ReserveError::Closed) => {
                // Several requests may have failed with this connection, and a new one may be open already.
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

    /// Returns the connection to the leader, and waits until it is open; `None` after [`CONNECT_TIMEOUT`].
    async fn client(&self) -> Option<Arc<Client>> {
        let mut client = self.client.subscribe();
        if let Some(client) = &*client.borrow() {
            return Some(client.clone());
        }
        self.connection_needed.notify_one();
        let open = client.wait_for(Option::is_some);
        let open = timeout(CONNECT_TIMEOUT, open).await.ok()?.ok()?;
        open.clone()
    }

    /// Reserves a request of any daemon in this daemon's schedule; `None` if this daemon does not lead.
    ///
    /// The result is the time until the request is due, or an error with that time if it exceeds `wait_max`.
    pub(crate) fn reserve_for(&self, request: &Request) -> Option<Result<Duration, Duration>> {
        if !self.leads.load(Ordering::Acquire) {
            return None;
        }
        let mut schedules = self.schedules();
        let now = Instant::now();
        Some(schedules.reserve(&request.upstream, request.limit, request.wait_max, now))
    }

    /// Sets whether this daemon leads, and thus schedules the requests of all daemons.
    ///
    /// The schedule is kept while it does not lead. If it leads again soon, its earlier reservations still count.
    pub(crate) fn set_leading(&self, leads: bool) {
        if self.leads.swap(leads, Ordering::AcqRel) != leads {
            self.full_until().clear();
        }
    }

    /// Opens a connection to the leader whenever requests need one, until the future is dropped.
    pub async fn follow<F>(&self, connect: impl Fn() -> F)
    where
        F: Future<Output = Option<Client>>,
    {
        let _guard = FollowGuard(self);
        self.full_until().clear();
        loop {
            self.connection_needed.notified().await;
            let opened_at = Instant::now();
            if let Some(client) = connect().await {
                self.client.send_replace(Some(Arc::new(client)));
                // `self` owns the sender, so the channel stays open.
                let _ = self.client.subscribe().wait_for(Option::is_none).await;
            }
            sleep(CONNECT_INTERVAL.saturating_sub(opened_at.elapsed())).await;
        }
    }

    /// Removes schedules and known waits that are no longer needed.
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

/// Closes the connection to the leader when [`SharedWarmups::follow`] ends.
struct FollowGuard<'a>(&'a SharedWarmups);

impl Drop for FollowGuard<'_> {
    fn drop(&mut self) {
        self.0.client.send_replace(None);
        self.0.full_until().clear();
    }
}

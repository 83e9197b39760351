//! Pings that detect unresponsive links.

use std::{
    future::pending,
    sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

use h2::{Ping, PingPong};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, timeout},
};

/// Time without activity after which a link in use is pinged.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time without activity after which a link is pinged before a new request is sent on it.
const STALE_AFTER: Duration = Duration::from_secs(1);

/// Time without a pong after which the link gets no new requests.
const PONG_TIMEOUT: Duration = Duration::from_millis(250);

/// Consecutive waits of [`PONG_TIMEOUT`] after which the link is closed. Separate waits make a pause
/// of this process count as one of them only.
const PONG_TIMEOUTS_MAX: u32 = 4;

/// Tracks the activity and the load of a link; shared by its driver and its requests.
#[derive(Debug)]
pub(super) struct Monitor {
    created_at: Instant,
    /// Milliseconds from creation to the last activity.
    last_activity_ms: AtomicU64,
    /// Requests in flight.
    in_flight: AtomicU32,
    /// The last ping was not answered in time; new requests use other links.
    is_suspect: AtomicBool,
    /// Requests an immediate ping.
    ping_requested: Notify,
    /// Counts pongs.
    pongs: watch::Sender<u64>,
}

/// The reason for closing a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Pings were not answered.
    Unresponsive,
    /// The link had no requests for a long time.
    Idle,
}

impl Monitor {
    pub(super) fn new() -> Self {
        Self {
            created_at: Instant::now(),
            last_activity_ms: AtomicU64::new(0),
            in_flight: AtomicU32::new(0),
            is_suspect: AtomicBool::new(false),
            ping_requested: Notify::new(),
            pongs: watch::Sender::new(0),
        }
    }

    /// Records that the peer sent something.
    pub(super) fn record_activity(&self) {
        let age = self.created_at.elapsed().as_millis();
        let age = u64::try_from(age).unwrap_or(u64::MAX);
        self.last_activity_ms.fetch_max(age, Ordering::Relaxed);
    }

    /// Waits for a pong, unless there was activity recently; false if the pong does not arrive in
    /// time.
    pub(super) async fn ensure_responsive(&self) -> bool {
        if self.since_activity() < STALE_AFTER && *self.pongs.borrow() > 0 {
            return true;
        }
        let mut pongs = self.pongs.subscribe();
        self.ping_requested.notify_one();
        let pong = timeout(PONG_TIMEOUT, pongs.changed()).await;
        matches!(pong, Ok(Ok(())))
    }

    /// Counts one more request in flight, unless there are `limit` already; false if there are.
    pub(super) fn try_acquire(&self, limit: u32) -> bool {
        let add = |in_flight| (in_flight < limit).then_some(in_flight + 1);
        let relaxed = Ordering::Relaxed;
        self.in_flight.fetch_update(relaxed, relaxed, add).is_ok()
    }

    /// Counts one request less in flight.
    pub(super) fn release(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of requests in flight.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(super) fn is_suspect(&self) -> bool {
        self.is_suspect.load(Ordering::Relaxed)
    }

    /// Pings the peer as needed, and returns once the link must be closed.
    pub(super) async fn run(&self, mut pings: PingPong, idle: Duration) -> CloseReason {
        let mut idle_since = Instant::now();
        loop {
            let requested = timeout(PING_INTERVAL, self.ping_requested.notified())
                .await
                .is_ok();
            if self.in_flight() > 0 {
                idle_since = Instant::now();
            }
            if idle_since.elapsed() >= idle {
                return CloseReason::Idle;
            }
            let due = self.in_flight() > 0 && self.since_activity() >= PING_INTERVAL;
            if (requested || due) && !self.ping(&mut pings).await {
                return CloseReason::Unresponsive;
            }
        }
    }

    /// Waits until no request is in flight. Starts with a pause, for requests that were admitted just
    /// before the link was closed for new ones.
    pub(super) async fn drained(&self) {
        loop {
            sleep(PING_INTERVAL).await;
            if self.in_flight() == 0 {
                return;
            }
        }
    }

    /// Pings once; false if the pong does not arrive in time.
    async fn ping(&self, pings: &mut PingPong) -> bool {
        let mut pong = std::pin::pin!(pings.ping(Ping::opaque()));
        for _ in 0..PONG_TIMEOUTS_MAX {
            match timeout(PONG_TIMEOUT, &mut pong).await {
                Ok(Ok(_)) => {
                    self.record_activity();
                    self.is_suspect.store(false, Ordering::Relaxed);
                    self.pongs.send_modify(|count| *count += 1);
                    return true;
                }
                // The link is closing, and its driver ends by itself.
                Ok(Err(_)) => pending().await,
                Err(_) => self.is_suspect.store(true, Ordering::Relaxed),
            }
        }
        false
    }

    /// Returns the time since the last activity.
    fn since_activity(&self) -> Duration {
        let last_activity = Duration::from_millis(self.last_activity_ms.load(Ordering::Relaxed));
        self.created_at.elapsed().saturating_sub(last_activity)
    }
}

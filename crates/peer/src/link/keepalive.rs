//! Pings that find out whether a link went silent.

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

/// Time without a sign of life after which a link in use is pinged.
const INTERVAL: Duration = Duration::from_millis(500);

/// Time without a sign of life after which an idle link is pinged before a request goes out on it.
const PROVEN: Duration = Duration::from_secs(1);

/// Time to wait for an answer before the link gets no new requests.
const DOUBT: Duration = Duration::from_millis(250);

/// Waits of [`DOUBT`] before the link is given up. One after the other, so that a pause of this
/// process counts as one.
const WAITS: u32 = 4;

/// Signs of life of a link, shared by its driver and its requests.
#[derive(Debug)]
pub(super) struct Pulse {
    born: Instant,
    /// Milliseconds from birth to the last sign of life.
    heard: AtomicU64,
    /// Requests in flight.
    load: AtomicU32,
    /// A ping is unanswered for a while; new requests go elsewhere.
    doubtful: AtomicBool,
    /// Asks for a ping at once.
    wanted: Notify,
    /// Counts answered pings.
    answered: watch::Sender<u64>,
}

/// Why a link is to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    /// Pings went unanswered.
    Silent,
    /// No request used it for a long time.
    Idle,
}

impl Pulse {
    pub(super) fn new() -> Self {
        Self {
            born: Instant::now(),
            heard: AtomicU64::new(0),
            load: AtomicU32::new(0),
            doubtful: AtomicBool::new(false),
            wanted: Notify::new(),
            answered: watch::Sender::new(0),
        }
    }

    /// Notes a sign of life.
    pub(super) fn beat(&self) {
        let age = self.born.elapsed().as_millis();
        let age = u64::try_from(age).unwrap_or(u64::MAX);
        self.heard.fetch_max(age, Ordering::Relaxed);
    }

    /// Waits for an answer to a ping, unless the link showed life lately; false if it shows none.
    pub(super) async fn prove(&self) -> bool {
        if self.quiet() < PROVEN && *self.answered.borrow() > 0 {
            return true;
        }
        let mut answered = self.answered.subscribe();
        self.wanted.notify_one();
        let proof = timeout(DOUBT, answered.changed()).await;
        matches!(proof, Ok(Ok(())))
    }

    /// Takes a place for a request, if fewer than `most` are taken.
    pub(super) fn enter(&self, most: u32) -> bool {
        let add = |load| (load < most).then_some(load + 1);
        let relaxed = Ordering::Relaxed;
        self.load.fetch_update(relaxed, relaxed, add).is_ok()
    }

    /// Gives a place back.
    pub(super) fn leave(&self) {
        self.load.fetch_sub(1, Ordering::Relaxed);
    }

    /// Requests in flight.
    pub(super) fn load(&self) -> u32 {
        self.load.load(Ordering::Relaxed)
    }

    pub(super) fn is_doubtful(&self) -> bool {
        self.doubtful.load(Ordering::Relaxed)
    }

    /// Pings when there is need to, until the link is to be closed.
    pub(super) async fn watch(&self, mut pings: PingPong, idle: Duration) -> End {
        let mut idle_since = Instant::now();
        loop {
            let wanted = timeout(INTERVAL, self.wanted.notified()).await.is_ok();
            if self.load() > 0 {
                idle_since = Instant::now();
            }
            if idle_since.elapsed() >= idle {
                return End::Idle;
            }
            let needed = self.load() > 0 && self.quiet() >= INTERVAL;
            if (wanted || needed) && !self.ping(&mut pings).await {
                return End::Silent;
            }
        }
    }

    /// Resolves when no request is in flight, some time after others were kept from coming.
    pub(super) async fn drained(&self) {
        loop {
            sleep(INTERVAL).await;
            if self.load() == 0 {
                return;
            }
        }
    }

    /// Pings once; false if no answer came.
    async fn ping(&self, pings: &mut PingPong) -> bool {
        let mut pong = std::pin::pin!(pings.ping(Ping::opaque()));
        for _ in 0..WAITS {
            match timeout(DOUBT, &mut pong).await {
                Ok(Ok(_)) => {
                    self.beat();
                    self.doubtful.store(false, Ordering::Relaxed);
                    self.answered.send_modify(|count| *count += 1);
                    return true;
                }
                // The link is closing, so its driver ends.
                Ok(Err(_)) => pending().await,
                Err(_) => self.doubtful.store(true, Ordering::Relaxed),
            }
        }
        false
    }

    /// Time since the last sign of life.
    fn quiet(&self) -> Duration {
        let heard = Duration::from_millis(self.heard.load(Ordering::Relaxed));
        self.born.elapsed().saturating_sub(heard)
    }
}

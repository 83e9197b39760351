//! The links to one peer.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::{
    CONNECT_TIMEOUT, LINKS_PER_PEER_MAX, UNREACHABLE_REASON,
    connection::{Connection, Permit, Stream},
    metrics::Metrics,
};
use crate::dial::Dialer;
use copperwell_message::Reason;
use tokio::{
    sync::Mutex as AsyncMutex,
    time::{Instant, timeout},
};

/// Maximum attempts to open a stream. Another attempt is safe after a link turned out to be closing
/// or unresponsive, because nothing was sent on it.
const OPEN_ATTEMPTS_MAX: usize = 3;

/// Number of links below which another one is opened as soon as two requests are in flight at once.
const LINKS_EAGER: usize = 2;

/// Number of requests in flight on the least loaded link above which another link is opened.
const IN_FLIGHT_HIGH: u32 = 32;

/// Time after a failed connection attempt in which requests fail at once instead of waiting for the
/// next attempt.
const FAIL_FAST_TIME: Duration = Duration::from_secs(1);

/// A daemon and the links to it.
#[derive(Debug)]
pub(super) struct Peer {
    dialer: Dialer,
    address: SocketAddr,
    links: Mutex<Vec<Arc<Connection>>>,
    /// Held while a link is being established.
    connecting: AsyncMutex<()>,
    /// When the last connection attempt failed; `None` if it succeeded.
    last_failure: Mutex<Option<Instant>>,
}

/// How to send the next request.
enum Choice {
    /// Use this link, on which a permit is acquired.
    Use(Arc<Connection>, Permit),
    /// Establish a link first.
    Connect,
    /// All links are full, and no more are allowed.
    Full,
}

impl Peer {
    pub(super) fn new(dialer: Dialer, address: SocketAddr) -> Self {
        Self {
            dialer,
            address,
            links: Mutex::default(),
            connecting: AsyncMutex::default(),
            last_failure: Mutex::default(),
        }
    }

    /// Whether all links are closed.
    pub(super) fn is_idle(&self) -> bool {
        self.links().iter().all(|link| link.is_closed())
    }

    /// Opens a stream on the least loaded link.
    pub(super) async fn open(self: &Arc<Self>, metrics: &Metrics) -> Result<Stream, Reason> {
        for _ in 0..OPEN_ATTEMPTS_MAX {
            let (link, permit) = match self.choose() {
                Choice::Use(link, permit) => (link, permit),
                Choice::Connect => self.connect(metrics).await?,
                Choice::Full => return Err(Reason::QueueFull),
            };
            if self.needs_more_links(&link) {
                self.connect_in_background(metrics);
            }
            if let Some(stream) = link.open(permit).await {
                return Ok(stream);
            }
        }
        Err(UNREACHABLE_REASON)
    }

    fn choose(&self) -> Choice {
        let mut links = self.links();
        links.retain(|link| !link.is_closed());
        let usable: Vec<_> = links.iter().filter(|link| link.is_usable()).collect();
        let least = usable.iter().min_by_key(|link| link.in_flight());
        if let Some(link) = least
            && let Some(permit) = link.try_acquire()
        {
            return Choice::Use(Arc::clone(link), permit);
        }
        // Suspect links count only against the higher limit, so that fresh links can replace them
        // before they are closed.
        if usable.len() < LINKS_PER_PEER_MAX && links.len() < 2 * LINKS_PER_PEER_MAX {
            Choice::Connect
        } else {
            Choice::Full
        }
    }

    /// Whether the least loaded link has enough requests in flight to justify another link.
    fn needs_more_links(&self, least: &Connection) -> bool {
        let links = self.links().len();
        let threshold = if links < LINKS_EAGER {
            1
        } else {
            IN_FLIGHT_HIGH
        };
        links < LINKS_PER_PEER_MAX && least.in_flight() > threshold
    }

    /// Establishes one more link in the background, unless a connection attempt is under way.
    fn connect_in_background(self: &Arc<Self>, metrics: &Metrics) {
        let peer = self.clone();
        let metrics = metrics.clone();
        tokio::spawn(async move {
            let Ok(_connecting) = peer.connecting.try_lock() else {
                return;
            };
            if peer.links().len() < LINKS_PER_PEER_MAX {
                // On failure the existing links remain in use.
                let _ = peer.establish(&metrics).await;
            }
        });
    }

    /// Establishes a link; requests that wait for it meanwhile share the outcome.
    ///
    /// While the daemon is unreachable, attempts run one at a time in the background, and requests do
    /// not wait for them.
    async fn connect(
        self: &Arc<Self>,
        metrics: &Metrics,
    ) -> Result<(Arc<Connection>, Permit), Reason> {
        let started_at = Instant::now();
        if self.failed_since(started_at.checked_sub(FAIL_FAST_TIME)) {
            self.connect_in_background(metrics);
            return Err(UNREACHABLE_REASON);
        }
        let _connecting = self.connecting.lock().await;
        if let Choice::Use(link, permit) = self.choose() {
            return Ok((link, permit));
        }
        if self.failed_since(Some(started_at)) {
            return Err(UNREACHABLE_REASON);
        }
        let link = self.establish(metrics).await?;
        let permit = link.try_acquire().ok_or(Reason::QueueFull)?;
        Ok((link, permit))
    }

    async fn establish(&self, metrics: &Metrics) -> Result<Arc<Connection>, Reason> {
        let connecting = Connection::connect(self.dialer, self.address, metrics.clone());
        let connected = timeout(CONNECT_TIMEOUT, connecting).await;
        let Ok(Ok(link)) = connected else {
            *self.last_failure() = Some(Instant::now());
            return Err(UNREACHABLE_REASON);
        };
        *self.last_failure() = None;
        metrics.count_opened();
        self.links().push(link.clone());
        Ok(link)
    }

    /// Whether the last connection attempt failed, at `since` or later.
    fn failed_since(&self, since: Option<Instant>) -> bool {
        self.last_failure()
            .is_some_and(|last_failure| Some(last_failure) >= since)
    }

    fn last_failure(&self) -> MutexGuard<'_, Option<Instant>> {
        self.last_failure
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn links(&self) -> MutexGuard<'_, Vec<Arc<Connection>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

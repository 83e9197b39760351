//! The links to one peer.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::{
    CONNECT_TIMEOUT, LINKS_MAX, UNREACHED,
    connection::{Connection, Load, Stream},
    metrics::Metrics,
};
use crate::dial::Dial;
use copperwell_message::Reason;
use tokio::{
    sync::Mutex as AsyncMutex,
    time::{Instant, timeout},
};

/// Tries with another link where one turned out to be closing; nothing was sent on it.
const TRIES: usize = 3;

/// Links that are worth having as soon as requests are in flight beside each other.
const LINKS_SPARE: usize = 2;

/// Requests in flight on the least loaded link that make one more worthwhile.
const LOAD_HIGH: u32 = 32;

/// Time after a failed try for which requests do not wait for the next one.
const DOWN: Duration = Duration::from_secs(1);

/// A daemon and the links to it.
#[derive(Debug)]
pub(super) struct Peer {
    dial: Dial,
    address: SocketAddr,
    links: Mutex<Vec<Arc<Connection>>>,
    /// Held while a link is made.
    connecting: AsyncMutex<()>,
    /// When the last try to make a link failed; `None` if it succeeded.
    failed: Mutex<Option<Instant>>,
}

/// What to do for the next request.
enum Choice {
    /// Take this link, where a place is taken already.
    Take(Arc<Connection>, Load),
    /// Make a link first.
    Connect,
    /// All links are full, and no more may be made.
    Full,
}

impl Peer {
    pub(super) fn new(dial: Dial, address: SocketAddr) -> Self {
        Self {
            dial,
            address,
            links: Mutex::default(),
            connecting: AsyncMutex::default(),
            failed: Mutex::default(),
        }
    }

    /// Whether no link is open.
    pub(super) fn is_idle(&self) -> bool {
        self.links().iter().all(|link| link.is_closed())
    }

    /// Opens a stream on the least loaded link.
    pub(super) async fn open(self: &Arc<Self>, metrics: &Metrics) -> Result<Stream, Reason> {
        for _ in 0..TRIES {
            let (link, load) = match self.choose() {
                Choice::Take(link, load) => (link, load),
                Choice::Connect => self.connect(metrics).await?,
                Choice::Full => return Err(Reason::QueueFull),
            };
            if self.wants_more(&link) {
                self.grow(metrics);
            }
            if let Some(stream) = link.open(load).await {
                return Ok(stream);
            }
        }
        Err(UNREACHED)
    }

    fn choose(&self) -> Choice {
        let mut links = self.links();
        links.retain(|link| !link.is_closed());
        let usable: Vec<_> = links.iter().filter(|link| link.is_usable()).collect();
        let least = usable.iter().min_by_key(|link| link.load());
        if let Some(link) = least
            && let Some(load) = link.enter()
        {
            return Choice::Take(Arc::clone(link), load);
        }
        // Links that went silent make room for fresh ones before they are given up.
        if usable.len() < LINKS_MAX && links.len() < 2 * LINKS_MAX {
            Choice::Connect
        } else {
            Choice::Full
        }
    }

    /// Whether the least loaded link is loaded enough for another one to be of use.
    fn wants_more(&self, least: &Connection) -> bool {
        let links = self.links().len();
        let enough = if links < LINKS_SPARE { 1 } else { LOAD_HIGH };
        links < LINKS_MAX && least.load() > enough
    }

    /// Makes one more link in the background, unless one is being made.
    fn grow(self: &Arc<Self>, metrics: &Metrics) {
        let peer = self.clone();
        let metrics = metrics.clone();
        tokio::spawn(async move {
            let Ok(_connecting) = peer.connecting.try_lock() else {
                return;
            };
            if peer.links().len() < LINKS_MAX {
                // The links that there are go on without it.
                let _ = peer.add(&metrics).await;
            }
        });
    }

    /// Makes a link; those that wait meanwhile share the outcome.
    ///
    /// While the daemon cannot be reached, one try after the other is made in the background, and
    /// requests do not wait for them.
    async fn connect(
        self: &Arc<Self>,
        metrics: &Metrics,
    ) -> Result<(Arc<Connection>, Load), Reason> {
        let asked = Instant::now();
        if self.failed_since(asked.checked_sub(DOWN)) {
            self.grow(metrics);
            return Err(UNREACHED);
        }
        let _connecting = self.connecting.lock().await;
        if let Choice::Take(link, load) = self.choose() {
            return Ok((link, load));
        }
        if self.failed_since(Some(asked)) {
            return Err(UNREACHED);
        }
        let link = self.add(metrics).await?;
        let load = link.enter().ok_or(Reason::QueueFull)?;
        Ok((link, load))
    }

    async fn add(&self, metrics: &Metrics) -> Result<Arc<Connection>, Reason> {
        let connecting = Connection::connect(self.dial, self.address, metrics.clone());
        let connected = timeout(CONNECT_TIMEOUT, connecting).await;
        let Ok(Ok(link)) = connected else {
            *self.failed() = Some(Instant::now());
            return Err(UNREACHED);
        };
        *self.failed() = None;
        metrics.count_opened();
        self.links().push(link.clone());
        Ok(link)
    }

    /// Whether the last try to make a link failed, at `since` or later.
    fn failed_since(&self, since: Option<Instant>) -> bool {
        self.failed().is_some_and(|failed| Some(failed) >= since)
    }

    fn failed(&self) -> MutexGuard<'_, Option<Instant>> {
        self.failed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn links(&self) -> MutexGuard<'_, Vec<Arc<Connection>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

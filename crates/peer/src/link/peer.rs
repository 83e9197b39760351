//! The links to one peer.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use super::{
    CONNECT_TIMEOUT, LINKS_MAX, STREAMS_MAX,
    connection::{Connection, Stream},
    metrics::Metrics,
};
use copperwell_message::Reason;
use tokio::{
    sync::Mutex as AsyncMutex,
    time::{Instant, timeout},
};

/// Tries with another link where one turned out to be closing; nothing was sent on it.
const TRIES: usize = 3;

/// A daemon and the links to it.
#[derive(Debug)]
pub(super) struct Peer {
    address: SocketAddr,
    links: Mutex<Vec<Arc<Connection>>>,
    /// Held while a link is made; remembers when that failed last.
    failed: AsyncMutex<Option<Instant>>,
}

/// What to do for the next request.
enum Choice {
    /// Take this link.
    Take(Arc<Connection>),
    /// Take this link, and make one more for later requests.
    TakeAndGrow(Arc<Connection>),
    /// Make a link first.
    Connect,
    /// All links are full.
    Full,
}

impl Peer {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            links: Mutex::default(),
            failed: AsyncMutex::default(),
        }
    }

    /// Whether no link is open.
    pub(super) fn is_idle(&self) -> bool {
        self.links().iter().all(|link| link.is_closed())
    }

    /// Opens a stream on the least loaded link.
    pub(super) async fn open(self: &Arc<Self>, metrics: &Metrics) -> Result<Stream, Reason> {
        for _ in 0..TRIES {
            let link = match self.choose() {
                Choice::Take(link) => link,
                Choice::TakeAndGrow(link) => {
                    self.grow(metrics);
                    link
                }
                Choice::Connect => self.connect(metrics).await?,
                Choice::Full => return Err(Reason::QueueFull),
            };
            if let Some(stream) = link.open().await {
                return Ok(stream);
            }
        }
        Err(Reason::ConnectionRefused)
    }

    fn choose(&self) -> Choice {
        let mut links = self.links();
        links.retain(|link| !link.is_closed());
        let usable = links.iter().filter(|link| link.is_usable());
        let Some(least) = usable.min_by_key(|link| link.load()) else {
            return if links.len() < LINKS_MAX {
                Choice::Connect
            } else {
                Choice::Full
            };
        };
        if least.load() >= STREAMS_MAX {
            return if links.len() < LINKS_MAX {
                Choice::Connect
            } else {
                Choice::Full
            };
        }
        if least.load() > 0 && links.len() < LINKS_MAX {
            return Choice::TakeAndGrow(least.clone());
        }
        Choice::Take(least.clone())
    }

    /// Makes one more link in the background, unless one is being made.
    fn grow(self: &Arc<Self>, metrics: &Metrics) {
        let peer = self.clone();
        let metrics = metrics.clone();
        tokio::spawn(async move {
            let Ok(mut failed) = peer.failed.try_lock() else {
                return;
            };
            if peer.links().len() < LINKS_MAX {
                // The links that there are go on without it.
                let _ = peer.add(&mut failed, &metrics).await;
            }
        });
    }

    /// Makes a link; those that wait meanwhile share the outcome.
    async fn connect(&self, metrics: &Metrics) -> Result<Arc<Connection>, Reason> {
        let asked = Instant::now();
        let mut failed = self.failed.lock().await;
        if failed.is_some_and(|at| at >= asked) {
            return Err(Reason::ConnectionRefused);
        }
        if let Choice::Take(link) | Choice::TakeAndGrow(link) = self.choose() {
            return Ok(link);
        }
        self.add(&mut failed, metrics).await
    }

    async fn add(
        &self,
        failed: &mut Option<Instant>,
        metrics: &Metrics,
    ) -> Result<Arc<Connection>, Reason> {
        let connecting = Connection::connect(self.address, metrics.clone());
        let Ok(Ok(link)) = timeout(CONNECT_TIMEOUT, connecting).await else {
            *failed = Some(Instant::now());
            return Err(Reason::ConnectionRefused);
        };
        *failed = None;
        metrics.count_opened();
        self.links().push(link.clone());
        Ok(link)
    }

    fn links(&self) -> MutexGuard<'_, Vec<Arc<Connection>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

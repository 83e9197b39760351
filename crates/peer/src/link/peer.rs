//! The links to one peer.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use super::{
    CONNECT_TIMEOUT, LINKS_MAX,
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

/// A daemon and the links to it.
#[derive(Debug)]
pub(super) struct Peer {
    dial: Dial,
    address: SocketAddr,
    links: Mutex<Vec<Arc<Connection>>>,
    /// Held while a link is made; remembers when that failed last.
    failed: AsyncMutex<Option<Instant>>,
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
        Err(Reason::ConnectionRefused)
    }

    fn choose(&self) -> Choice {
        let mut links = self.links();
        links.retain(|link| !link.is_closed());
        let usable = links.iter().filter(|link| link.is_usable());
        let least = usable.min_by_key(|link| link.load());
        if let Some(link) = least
            && let Some(load) = link.enter()
        {
            return Choice::Take(link.clone(), load);
        }
        if links.len() < LINKS_MAX {
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
    async fn connect(&self, metrics: &Metrics) -> Result<(Arc<Connection>, Load), Reason> {
        let asked = Instant::now();
        let mut failed = self.failed.lock().await;
        if failed.is_some_and(|at| at >= asked) {
            return Err(Reason::ConnectionRefused);
        }
        if let Choice::Take(link, load) = self.choose() {
            return Ok((link, load));
        }
        let link = self.add(&mut failed, metrics).await?;
        let load = link.enter().ok_or(Reason::QueueFull)?;
        Ok((link, load))
    }

    async fn add(
        &self,
        failed: &mut Option<Instant>,
        metrics: &Metrics,
    ) -> Result<Arc<Connection>, Reason> {
        let connecting = Connection::connect(self.dial, self.address, metrics.clone());
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

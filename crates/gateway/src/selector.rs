//! Which upstream a request goes to next.

use std::{sync::Arc, time::Duration};

use crate::{beliefs::Beliefs, queue::Rooms, refusal::Refusal};
use copperwell_assignment::table::Version;
use copperwell_message::Reason;
use copperwell_routing::{Key, ServiceName, UpstreamId, registry::Upstream};
use tokio::time::{Instant, timeout_at};

/// How long a holder that is draining still gets requests for its keys, while they move.
const DRAINING: Duration = Duration::from_millis(200);

/// What a request needs.
#[derive(Debug, Clone)]
pub(crate) struct Wish {
    /// The service.
    pub(crate) service: ServiceName,
    /// The key, if the service is divided by key.
    pub(crate) key: Option<Key>,
    /// The rank among requests for the service; the lowest goes first.
    pub(crate) priority: u32,
    /// Until when it may wait for an upstream.
    pub(crate) until: Instant,
}

/// Finds upstreams for requests.
#[derive(Debug)]
pub(crate) struct Finder {
    pub(crate) beliefs: Arc<Beliefs>,
    pub(crate) rooms: Arc<Rooms>,
}

impl Finder {
    /// The upstream that a request goes to, once there is room.
    ///
    /// `sent` are those that it was sent to already. `after` is a version of the tables that turned
    /// out to be wrong.
    pub(crate) async fn find(
        &self,
        wish: &Wish,
        sent: &[UpstreamId],
        after: Option<Version>,
    ) -> Result<Arc<Upstream>, Refusal> {
        match wish.key {
            Some(key) => self.holder(wish, key, after).await,
            None => self.any(wish, sent).await,
        }
    }

    async fn any(&self, wish: &Wish, sent: &[UpstreamId]) -> Result<Arc<Upstream>, Refusal> {
        let registry = self.beliefs.registry();
        let upstreams = registry.of(&wish.service);
        if upstreams.iter().all(|upstream| upstream.is_draining) {
            return Err(Refusal::not_run(Reason::NoUpstream));
        }
        let now = Instant::now();
        let zone = &self.beliefs.zone;
        let mut random = rand::rng();
        let loads = self.beliefs.loads();
        let chosen = loads.choose(upstreams, zone, sent, now, &mut random);
        chosen.cloned().ok_or(Refusal::not_run(Reason::QueueFull))
    }

    /// Waits for a key to have a holder, and for room there.
    async fn holder(
        &self,
        wish: &Wish,
        key: Key,
        after: Option<Version>,
    ) -> Result<Arc<Upstream>, Refusal> {
        let directory = &self.beliefs.keys.directory;
        let _waiting = self.rooms.queue();
        if let Some(after) = after {
            let _ = timeout_at(wish.until, directory.newer_than(after)).await;
        }
        // A request is let in, or not, once.
        let mut is_admitted = after.is_some();
        loop {
            let version = directory.tables().version;
            let served = directory.served(&wish.service, key);
            if let Some(served) = &served
                && !is_admitted
            {
                let beliefs = &self.beliefs;
                is_admitted = beliefs.admits(&wish.service, wish.priority, served.admits);
                if !is_admitted {
                    return Err(Refusal::not_run(Reason::Overload));
                }
            }
            let upstream = served.and_then(|served| self.usable(&served.by));
            let Some(upstream) = upstream else {
                let news = timeout_at(wish.until, directory.newer_than(version));
                if news.await.is_err() {
                    return Err(Refusal::not_run(Reason::Unowned));
                }
                continue;
            };
            if self.beliefs.loads().has_room(&upstream) {
                return Ok(upstream);
            }
            if Instant::now() >= wish.until {
                return Err(Refusal::not_run(Reason::QueueFull));
            }
            self.rooms.wait(&upstream.id, wish.until).await;
        }
    }

    /// A holder that may still get requests.
    fn usable(&self, id: &UpstreamId) -> Option<Arc<Upstream>> {
        let registry = self.beliefs.registry();
        let upstream = registry.get(id)?.clone();
        drop(registry);
        let leaving = self.beliefs.draining_for(id);
        let is_usable = leaving.is_none_or(|time| time < DRAINING);
        is_usable.then_some(upstream)
    }
}

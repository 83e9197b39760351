//! The routes from shards to upstreams, for the shards that this daemon leads.
//!
//! A daemon knows far more shards than it leads, so only shards that have or had a route here get
//! an entry. The entry outlives the route, as it keeps the shard's generation and first grant.
//!
//! Lock order: the table's map of services, then a service's map of shards, then one shard's entry,
//! then a lease. The maps are unlocked before an entry is locked. No lock is held across an await.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use copperwell_keyspace::{Epoch, HashMap, Incarnation, ServiceName, ShardIndex, UpstreamName};
use tokio::{sync::Notify, time::Instant};

/// The routes of every shard that this daemon leads.
#[derive(Debug, Default)]
pub struct Table {
    services: RwLock<HashMap<ServiceName, Arc<Shards>>>,
}

/// The shards of a service that have or had a route here.
#[derive(Debug)]
struct Shards {
    /// The number of shards of the service.
    count: u32,
    entries: RwLock<HashMap<ShardIndex, Arc<Entry>>>,
}

/// The destination of a shard's requests.
#[derive(Debug, Clone, Default)]
pub enum Route {
    /// Another daemon leads the shard's group.
    #[default]
    Elsewhere,
    /// The shard has no owner, and it is not known when it gets one.
    Unowned,
    /// The shard is about to get an owner; new requests wait for it.
    Pending,
    /// An upstream owns the shard.
    Owned(Owner),
}

/// The owner of a shard.
#[derive(Debug, Clone)]
pub struct Owner {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The epoch under which requests are sent.
    pub epoch: Epoch,
    /// The first epoch of this daemon's uninterrupted leadership; the daemon knows all idempotency
    /// keys used since then.
    pub leadership_epoch: Epoch,
    /// The incarnation of the server that holds the grant.
    pub incarnation: Incarnation,
    /// The lease that all grants of this upstream share.
    pub lease: Arc<Lease>,
}

/// A lease on all grants of an upstream; a renewal extends it for all its shards at once.
#[derive(Debug)]
pub struct Lease {
    expires_at: Mutex<Instant>,
}

/// Counts a request in flight on a shard, until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    entry: Arc<Entry>,
    generation: u64,
}

/// The current or latest leadership of a shard by this daemon.
#[derive(Debug, Clone, Default)]
pub struct Leadership {
    /// The route.
    pub route: Route,
    /// How many times this daemon has taken over the shard from [`Route::Elsewhere`].
    pub generation: u64,
    /// The first grant of the shard in this generation and in the daemon's latest uninterrupted
    /// leadership; it is kept after both have ended.
    pub first_grant: Option<FirstGrant>,
}

/// The first grant of a shard in an uninterrupted leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstGrant {
    /// The first epoch of the leadership.
    pub leadership_epoch: Epoch,
    /// The time of the grant.
    pub granted_at: Instant,
}

#[derive(Debug, Default)]
struct Entry {
    leadership: Mutex<Leadership>,
    in_flight: AtomicU32,
    /// Requests since the last [`Table::take_requests`].
    requests: AtomicU32,
    changed: Notify,
    idle: Notify,
}

impl Table {
    /// Creates an empty table, in which every shard is [`Route::Elsewhere`].
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a service of `shards` shards; a service with this number of shards keeps its routes.
    pub fn add_service(&self, service: &ServiceName, shards: u32) {
        let is_current = |known: &Arc<Shards>| known.count == shards;
        if self.shards(service).as_ref().is_some_and(is_current) {
            return;
        }
        let mut services = self
            .services
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if !services.get(service).is_some_and(is_current) {
            services.insert(service.clone(), Arc::new(Shards::new(shards)));
        }
    }

    /// Sets the route of a shard and wakes the tasks that wait for a change.
    pub fn set(&self, service: &str, shard: ShardIndex, route: Route) {
        let Some(shards) = self.shards(service) else {
            return;
        };
        let entry = match route {
            // A shard without an entry is elsewhere already.
            Route::Elsewhere => shards.entry(shard),
            _ => shards.entry_or_new(shard),
        };
        if let Some(entry) = entry {
            entry.leadership().set(route);
            entry.changed.notify_waiters();
        }
    }

    /// Returns the route of a shard, or [`Route::Elsewhere`] if it is not in the table.
    #[must_use]
    pub fn route(&self, service: &str, shard: ShardIndex) -> Route {
        self.leadership(service, shard).route
    }

    /// Returns the route of a shard with its generation and first grant.
    #[must_use]
    pub fn leadership(&self, service: &str, shard: ShardIndex) -> Leadership {
        self.entry(service, shard)
            .map(|entry| entry.leadership().clone())
            .unwrap_or_default()
    }

    /// Returns the latest incarnation of an upstream that owns a shard of a service.
    #[must_use]
    pub fn incarnation(&self, service: &str, upstream: &str) -> Option<Incarnation> {
        let shards = self.shards(service)?;
        let entries = shards.entries();
        let incarnations = entries
            .values()
            .filter_map(|entry| match &entry.leadership().route {
                Route::Owned(owner) if &*owner.upstream == upstream => Some(owner.incarnation),
                _ => None,
            });
        incarnations.max()
    }

    /// Returns and resets the number of requests of each shard of a service since the last call.
    ///
    /// Shards without requests are left out.
    #[must_use]
    pub fn take_requests(&self, service: &str) -> Vec<(ShardIndex, u32)> {
        let Some(shards) = self.shards(service) else {
            return Vec::new();
        };
        let entries = shards.entries();
        let counts = entries.iter().map(|(shard, entry)| {
            let requests = entry.requests.swap(0, Ordering::Relaxed);
            (*shard, requests)
        });
        counts.filter(|(_, requests)| *requests > 0).collect()
    }

    /// Counts a request in flight if an upstream owns the shard now.
    ///
    /// Check and count are atomic, so a [`Table::wait_until_idle`] after [`Route::Pending`] misses
    /// no request.
    ///
    /// # Errors
    ///
    /// Returns the route if it is not [`Route::Owned`].
    pub fn begin_request(
        &self,
        service: &str,
        shard: ShardIndex,
    ) -> Result<(Owner, InFlight), Route> {
        let entry = self.entry(service, shard).ok_or(Route::Elsewhere)?;
        let leadership = entry.leadership();
        let Route::Owned(owner) = &leadership.route else {
            return Err(leadership.route.clone());
        };
        let owner = owner.clone();
        let generation = leadership.generation;
        entry.in_flight.fetch_add(1, Ordering::AcqRel);
        drop(leadership);
        entry.requests.fetch_add(1, Ordering::Relaxed);
        Ok((owner, InFlight { entry, generation }))
    }

    /// Waits until `is_unchanged` no longer holds for the shard's route.
    ///
    /// Returns at once for an unknown service or shard.
    pub async fn wait_for_change(
        &self,
        service: &str,
        shard: ShardIndex,
        is_unchanged: impl Fn(&Route) -> bool,
    ) {
        let Some(entry) = self.entry_to_watch(service, shard, &is_unchanged) else {
            return;
        };
        loop {
            let notified = entry.changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if !is_unchanged(&entry.leadership().route) {
                return;
            }
            notified.await;
        }
    }

    /// Returns the number of requests in flight on a shard.
    #[must_use]
    pub fn in_flight(&self, service: &str, shard: ShardIndex) -> u32 {
        self.entry(service, shard)
            .map_or(0, |entry| entry.in_flight.load(Ordering::Acquire))
    }

    /// Waits until no request is in flight on the shard.
    pub async fn wait_until_idle(&self, service: &str, shard: ShardIndex) {
        let Some(entry) = self.entry(service, shard) else {
            return;
        };
        loop {
            let notified = entry.idle.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if entry.in_flight.load(Ordering::Acquire) == 0 {
                return;
            }
            notified.await;
        }
    }

    fn entry(&self, service: &str, shard: ShardIndex) -> Option<Arc<Entry>> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.get(service)?.entry(shard)
    }

    /// Returns the entry whose changes to wait for, or `None` if there is nothing to wait for.
    fn entry_to_watch(
        &self,
        service: &str,
        shard: ShardIndex,
        is_unchanged: impl Fn(&Route) -> bool,
    ) -> Option<Arc<Entry>> {
        match self.entry(service, shard) {
            None if is_unchanged(&Route::Elsewhere) => self.shards(service)?.entry_or_new(shard),
            entry => entry,
        }
    }

    fn shards(&self, service: &str) -> Option<Arc<Shards>> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.get(service).cloned()
    }
}

impl Shards {
    fn new(count: u32) -> Self {
        Self {
            count,
            entries: RwLock::default(),
        }
    }

    fn entry(&self, shard: ShardIndex) -> Option<Arc<Entry>> {
        self.entries().get(&shard).cloned()
    }

    /// Returns the entry of a shard, or `None` if the service has no such shard.
    fn entry_or_new(&self, shard: ShardIndex) -> Option<Arc<Entry>> {
        if shard >= self.count {
            return None;
        }
        if let Some(entry) = self.entry(shard) {
            return Some(entry);
        }
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        Some(entries.entry(shard).or_default().clone())
    }

    fn entries(&self) -> RwLockReadGuard<'_, HashMap<ShardIndex, Arc<Entry>>> {
        self.entries.read().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    fn leadership(&self) -> MutexGuard<'_, Leadership> {
        self.leadership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Leadership {
    fn set(&mut self, route: Route) {
        let was_elsewhere = matches!(self.route, Route::Elsewhere);
        let is_elsewhere = matches!(route, Route::Elsewhere);
        if was_elsewhere && !is_elsewhere {
            self.generation += 1;
            // Another daemon may have led the shard in between, even if the leadership epoch is
            // the same.
            self.first_grant = None;
        }
        if let Route::Owned(owner) = &route
            && self
                .first_grant
                .is_none_or(|first| first.leadership_epoch != owner.leadership_epoch)
        {
            self.first_grant = Some(FirstGrant {
                leadership_epoch: owner.leadership_epoch,
                granted_at: Instant::now(),
            });
        }
        self.route = route;
    }

    /// Returns the time since the first grant in this generation and uninterrupted leadership.
    #[must_use]
    pub fn owned_for(&self) -> Duration {
        self.first_grant
            .map_or(Duration::ZERO, |first| first.granted_at.elapsed())
    }
}

impl Owner {
    /// Returns whether both are the same incarnation of the same server under the same epoch.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.upstream == other.upstream
            && self.epoch == other.epoch
            && self.incarnation == other.incarnation
    }
}

impl InFlight {
    /// Returns the generation of the shard in which the request was counted.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.entry.in_flight.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.entry.idle.notify_waiters();
        }
    }
}

impl Lease {
    /// Creates a lease that expires at `expires_at`.
    #[must_use]
    pub fn new(expires_at: Instant) -> Self {
        Self {
            expires_at: Mutex::new(expires_at),
        }
    }

    /// Extends the lease; never shortens it.
    pub fn renew(&self, expires_at: Instant) {
        let mut current = self
            .expires_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = (*current).max(expires_at);
    }

    /// Ends the lease at `now`, as far as this daemon may send under it.
    pub fn revoke(&self, now: Instant) {
        *self
            .expires_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = now;
    }

    /// Returns whether the lease is certain to be valid at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.expires_at()
    }

    /// Returns the time before which the lease is certain to be valid.
    #[must_use]
    pub fn expires_at(&self) -> Instant {
        *self
            .expires_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

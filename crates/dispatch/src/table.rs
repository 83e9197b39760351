//! Which upstream serves which shard, as the leader of its group knows it.
//!
//! A daemon knows of far more shards than it leads, so there is an entry only for those that have a
//! route here, or had one: how often a shard came and its first grant outlive its route.
//!
//! Lock order: the table's map of services, then a service's map of shards, then one shard's entry,
//! then a lease. The maps are let go before an entry is locked. No lock is held across an await.

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
    /// All shards of the service.
    count: u32,
    entries: RwLock<HashMap<ShardIndex, Arc<Entry>>>,
}

/// Where the requests of a shard go.
#[derive(Debug, Clone, Default)]
pub enum Route {
    /// Another daemon leads the shard's group.
    #[default]
    Elsewhere,
    /// The shard has no owner, and nobody knows yet when it will.
    Unowned,
    /// The shard is on its way to an owner: new requests wait.
    Held,
    /// An upstream owns it.
    Owned(Owner),
}

/// The owner of a shard.
#[derive(Debug, Clone)]
pub struct Owner {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The epoch under which requests are sent.
    pub epoch: Epoch,
    /// The first epoch of this daemon's unbroken leadership; what it knows of idempotency keys since
    /// then is whole.
    pub tenure: Epoch,
    /// The server's run that holds the grant.
    pub incarnation: Incarnation,
    /// The lease of all grants of this upstream.
    pub lease: Arc<Lease>,
}

/// Until when an upstream's grants surely last; renewals prolong it for all its shards at once.
#[derive(Debug)]
pub struct Lease {
    until: Mutex<Instant>,
}

/// Counts a request in flight on a shard until it is dropped.
#[derive(Debug)]
pub struct Pass {
    entry: Arc<Entry>,
    turn: u64,
}

/// The route of a shard, and which of this daemon's turns of leading it this is.
#[derive(Debug, Clone, Default)]
pub struct Lead {
    /// The route.
    pub route: Route,
    /// How often the shard has come from [`Route::Elsewhere`].
    pub turn: u64,
    /// The first grant of the shard in this turn and this daemon's latest unbroken leadership; it
    /// outlives both.
    pub first: Option<First>,
}

/// The first grant of a shard in an unbroken leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct First {
    /// The leadership's first epoch.
    pub tenure: Epoch,
    /// When it was granted.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct Entry {
    lead: Mutex<Lead>,
    in_flight: AtomicU32,
    /// Since they were last taken.
    requests: AtomicU32,
    changed: Notify,
    idle: Notify,
}

impl Table {
    /// An empty table: everything is led elsewhere.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets a service of `shards` shards have routes; keeps those that are there.
    pub fn add_service(&self, service: &ServiceName, shards: u32) {
        let is_known = |held: &Arc<Shards>| held.count == shards;
        if self.shards(service).as_ref().is_some_and(is_known) {
            return;
        }
        let mut services = self
            .services
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if !services.get(service).is_some_and(is_known) {
            services.insert(service.clone(), Arc::new(Shards::new(shards)));
        }
    }

    /// Sets the route of a shard and wakes those that wait for it.
    pub fn set(&self, service: &str, shard: ShardIndex, route: Route) {
        let Some(shards) = self.shards(service) else {
            return;
        };
        let entry = match route {
            // Without an entry it is elsewhere already.
            Route::Elsewhere => shards.entry(shard),
            _ => shards.entry_or_new(shard),
        };
        if let Some(entry) = entry {
            entry.lead().set(route);
            entry.changed.notify_waiters();
        }
    }

    /// The route of a shard; [`Route::Elsewhere`] for one that is not in the table.
    #[must_use]
    pub fn route(&self, service: &str, shard: ShardIndex) -> Route {
        self.lead(service, shard).route
    }

    /// The route of a shard together with its turn.
    #[must_use]
    pub fn lead(&self, service: &str, shard: ShardIndex) -> Lead {
        self.entry(service, shard)
            .map(|entry| entry.lead().clone())
            .unwrap_or_default()
    }

    /// Takes the requests that each shard of a service has had since the last call, but for shards
    /// that had none.
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

    /// Counts a request in flight, if an upstream owns the shard at this moment.
    ///
    /// The check and the count are one step, so [`Table::idle`] after [`Route::Held`] misses none.
    ///
    /// # Errors
    ///
    /// The route, if it is not [`Route::Owned`].
    pub fn enter(&self, service: &str, shard: ShardIndex) -> Result<(Owner, Pass), Route> {
        let entry = self.entry(service, shard).ok_or(Route::Elsewhere)?;
        let lead = entry.lead();
        let Route::Owned(owner) = &lead.route else {
            return Err(lead.route.clone());
        };
        let owner = owner.clone();
        let turn = lead.turn;
        entry.in_flight.fetch_add(1, Ordering::AcqRel);
        drop(lead);
        entry.requests.fetch_add(1, Ordering::Relaxed);
        Ok((owner, Pass { entry, turn }))
    }

    /// Resolves at the next change of the shard's route that comes after the call.
    pub async fn changed(&self, service: &str, shard: ShardIndex, seen: impl Fn(&Route) -> bool) {
        let Some(entry) = self.entry_to_watch(service, shard, &seen) else {
            return;
        };
        loop {
            let notified = entry.changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if !seen(&entry.lead().route) {
                return;
            }
            notified.await;
        }
    }

    /// Requests in flight on a shard.
    #[must_use]
    pub fn in_flight(&self, service: &str, shard: ShardIndex) -> u32 {
        self.entry(service, shard)
            .map_or(0, |entry| entry.in_flight.load(Ordering::Acquire))
    }

    /// Resolves when no request is in flight on the shard.
    pub async fn idle(&self, service: &str, shard: ShardIndex) {
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

    /// The entry to wait on; none if there is nothing to wait for.
    fn entry_to_watch(
        &self,
        service: &str,
        shard: ShardIndex,
        seen: impl Fn(&Route) -> bool,
    ) -> Option<Arc<Entry>> {
        match self.entry(service, shard) {
            None if seen(&Route::Elsewhere) => self.shards(service)?.entry_or_new(shard),
            held => held,
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

    /// None if the service has no such shard.
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
    fn lead(&self) -> MutexGuard<'_, Lead> {
        self.lead.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lead {
    fn set(&mut self, route: Route) {
        let was_elsewhere = matches!(self.route, Route::Elsewhere);
        let is_elsewhere = matches!(route, Route::Elsewhere);
        if was_elsewhere && !is_elsewhere {
            self.turn += 1;
            // The shard may have been led elsewhere meanwhile, though under the same tenure here.
            self.first = None;
        }
        if let Route::Owned(owner) = &route
            && self.first.is_none_or(|first| first.tenure != owner.tenure)
        {
            self.first = Some(First {
                tenure: owner.tenure,
                at: Instant::now(),
            });
        }
        self.route = route;
    }

    /// How long ago the shard was first granted in this turn and unbroken leadership.
    #[must_use]
    pub fn owned_for(&self) -> Duration {
        self.first
            .map_or(Duration::ZERO, |first| first.at.elapsed())
    }
}

impl Owner {
    /// Whether two owners are the same run of the same server under the same leader.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.upstream == other.upstream
            && self.epoch == other.epoch
            && self.incarnation == other.incarnation
    }
}

impl Pass {
    /// The turn of leading the shard in which the request entered.
    #[must_use]
    pub fn turn(&self) -> u64 {
        self.turn
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        if self.entry.in_flight.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.entry.idle.notify_waiters();
        }
    }
}

impl Lease {
    /// A lease that lasts until `until`.
    #[must_use]
    pub fn new(until: Instant) -> Self {
        Self {
            until: Mutex::new(until),
        }
    }

    /// Prolongs the lease; never shortens it.
    pub fn prolong(&self, until: Instant) {
        let mut held = self.until.lock().unwrap_or_else(PoisonError::into_inner);
        *held = (*held).max(until);
    }

    /// Ends the lease at once, for the sender's side.
    pub fn end(&self, now: Instant) {
        *self.until.lock().unwrap_or_else(PoisonError::into_inner) = now;
    }

    /// Whether the lease surely lasts at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.until()
    }

    /// When the lease surely still lasts until.
    #[must_use]
    pub fn until(&self) -> Instant {
        *self.until.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

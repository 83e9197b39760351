//! The services of the current manifest, with their state that outlives a change of manifest.

use std::{
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use crate::{
    hot_keys::KeyCounter,
    idempotency::IdempotencyWindow,
    lazy_limiter::{LazyLimiter, Limits},
    limiter::Limiter,
};
use copperwell_keyspace::{
    HashMap, ServiceName, UpstreamName,
    manifest::{Manifest, Service, Upstream},
};
use copperwell_message::Reason;
use copperwell_policy::{
    budget::Budget,
    limit::{Limit, Refusal},
};

/// The services of one manifest.
#[derive(Debug, Default)]
pub(crate) struct Config {
    /// The services by name.
    pub(crate) services: HashMap<ServiceName, Arc<ActiveService>>,
}

/// A service of the current manifest.
#[derive(Debug)]
pub(crate) struct ActiveService {
    /// The service as declared in the manifest, without its upstreams.
    pub(crate) settings: Service,
    /// The state that outlives a change of manifest.
    pub(crate) state: Arc<ServiceState>,
    upstreams: HashMap<UpstreamName, ActiveUpstream>,
}

/// An upstream of the current manifest.
#[derive(Debug, Clone)]
pub(crate) struct ActiveUpstream {
    /// The upstream as declared in the manifest.
    pub(crate) settings: Upstream,
    limiter: Arc<LazyLimiter>,
}

/// The state of a service that outlives a change of manifest.
#[derive(Debug)]
pub(crate) struct ServiceState {
    /// The idempotency keys of requests that are not repeatable.
    pub(crate) window: IdempotencyWindow,
    /// The most requested keys.
    pub(crate) hot_keys: KeyCounter,
    budget: Mutex<Budget>,
    owner_waits: Mutex<Limit<IpAddr>>,
}

/// Counts a request that waits for its shard to get an owner, until it is dropped.
pub(crate) struct OwnerWait<'a> {
    state: &'a ServiceState,
    caller: IpAddr,
}

impl Config {
    /// Creates the services of `manifest` and reuses the state of those that are in `previous`.
    pub(crate) fn new(manifest: &Manifest, previous: &Self) -> Self {
        let services = manifest.services.iter().map(|service| {
            let old = previous.services.get(&service.name);
            let active = ActiveService::new(service, old.map(AsRef::as_ref));
            (service.name.clone(), Arc::new(active))
        });
        Self {
            services: services.collect(),
        }
    }
}

impl ActiveService {
    fn new(service: &Service, previous: Option<&Self>) -> Self {
        let state = match previous {
            Some(old) => Arc::clone(&old.state),
            None => Arc::new(ServiceState::new(service)),
        };
        state.window.set_length(service.limits.window);
        state.owner_waits().set_max(service.limits.queue);
        let upstreams = service.upstreams.iter().map(|upstream| {
            let old = previous.and_then(|old| old.upstreams.get(&upstream.name));
            let active = ActiveUpstream::new(upstream, service.limits.queue, old);
            (upstream.name.clone(), active)
        });
        Self {
            settings: service.settings(),
            state,
            upstreams: upstreams.collect(),
        }
    }

    /// Returns the upstream named `upstream`.
    pub(crate) fn upstream(&self, upstream: &str) -> Option<&ActiveUpstream> {
        self.upstreams.get(upstream)
    }

    /// Returns all upstreams.
    pub(crate) fn upstreams(&self) -> impl Iterator<Item = &ActiveUpstream> {
        self.upstreams.values()
    }
}

impl ActiveUpstream {
    fn new(upstream: &Upstream, queue: u32, previous: Option<&Self>) -> Self {
        let limits = Limits {
            slots: upstream.slots,
            queue,
        };
        let limiter = match previous {
            // A changed address means another server, which gets a new limiter.
            Some(old) if old.settings.address == upstream.address => {
                old.limiter.resize(limits);
                Arc::clone(&old.limiter)
            }
            _ => Arc::new(LazyLimiter::new(limits)),
        };
        Self {
            settings: upstream.clone(),
            limiter,
        }
    }

    /// Returns the limiter of the upstream's slots and queue, creating it if needed.
    pub(crate) fn limiter(&self) -> &Arc<Limiter> {
        self.limiter.get_or_create()
    }

    /// Returns the limiter if a request for the upstream has created it.
    pub(crate) fn existing_limiter(&self) -> Option<&Arc<Limiter>> {
        self.limiter.get()
    }
}

impl ServiceState {
    fn new(service: &Service) -> Self {
        Self {
            window: IdempotencyWindow::new(service.limits.window),
            hot_keys: KeyCounter::new(),
            budget: Mutex::new(Budget::new()),
            owner_waits: Mutex::new(Limit::new(service.limits.queue)),
        }
    }

    /// Counts the first attempt of a request towards the retry budget.
    pub(crate) fn record_first_attempt(&self, percent: u8) {
        self.with_budget(|budget| budget.record_first_attempt(percent));
    }

    /// Takes a retry from the budget; returns `false` if the budget is used up.
    pub(crate) fn spend_retry(&self) -> bool {
        self.with_budget(Budget::withdraw)
    }

    /// Admits a request that has to wait for its shard's owner.
    pub(crate) fn admit_owner_wait(&self, caller: IpAddr) -> Result<OwnerWait<'_>, Reason> {
        let admitted = self.owner_waits().acquire(caller);
        match admitted {
            Ok(()) => Ok(OwnerWait {
                state: self,
                caller,
            }),
            Err(Refusal::Full) => Err(Reason::QueueFull),
            Err(Refusal::Share) => Err(Reason::CallerShare),
        }
    }

    fn owner_waits(&self) -> MutexGuard<'_, Limit<IpAddr>> {
        self.owner_waits
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn with_budget<T>(&self, act: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut budget)
    }
}

impl Drop for OwnerWait<'_> {
    fn drop(&mut self) {
        self.state.owner_waits().release(&self.caller);
    }
}

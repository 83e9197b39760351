//! The services in force, with what is kept for each from one manifest to the next.

use std::{
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use crate::{
    cell::{Cell, Limits},
    gate::Gate,
    hot::Hot,
    ids::Ids,
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
    /// By name.
    pub(crate) services: HashMap<ServiceName, Arc<Serving>>,
}

/// A service in force.
#[derive(Debug)]
pub(crate) struct Serving {
    /// As the manifest declares it, without its upstreams.
    pub(crate) service: Service,
    /// What outlives a manifest.
    pub(crate) kept: Arc<Kept>,
    doors: HashMap<UpstreamName, Door>,
}

/// An upstream in force.
#[derive(Debug, Clone)]
pub(crate) struct Door {
    /// As the manifest declares it.
    pub(crate) upstream: Upstream,
    cell: Arc<Cell>,
}

/// What is kept of a service from one manifest to the next.
#[derive(Debug)]
pub(crate) struct Kept {
    /// The keys of requests that are not repeatable.
    pub(crate) ids: Ids,
    /// The keys that are asked for most.
    pub(crate) hot: Hot,
    budget: Mutex<Budget>,
    holds: Mutex<Limit<IpAddr>>,
}

/// A request that waits for its shard to get an owner, counted until it is dropped.
pub(crate) struct Hold<'a> {
    kept: &'a Kept,
    caller: IpAddr,
}

impl Config {
    /// The services of `manifest`, with what `before` keeps of them.
    pub(crate) fn new(manifest: &Manifest, before: &Self) -> Self {
        let services = manifest.services.iter().map(|service| {
            let old = before.services.get(&service.name);
            let serving = Serving::new(service, old.map(AsRef::as_ref));
            (service.name.clone(), Arc::new(serving))
        });
        Self {
            services: services.collect(),
        }
    }
}

impl Serving {
    fn new(service: &Service, before: Option<&Self>) -> Self {
        let kept = match before {
            Some(old) => Arc::clone(&old.kept),
            None => Arc::new(Kept::new(service)),
        };
        kept.ids.set_length(service.limits.window);
        kept.holds().set_most(service.limits.queue);
        let doors = service.upstreams.iter().map(|upstream| {
            let old = before.and_then(|old| old.doors.get(&upstream.name));
            let door = Door::new(upstream, service.limits.queue, old);
            (upstream.name.clone(), door)
        });
        Self {
            service: service.settings(),
            kept,
            doors: doors.collect(),
        }
    }

    /// The upstream of this name.
    pub(crate) fn door(&self, upstream: &str) -> Option<&Door> {
        self.doors.get(upstream)
    }

    /// The upstreams.
    pub(crate) fn doors(&self) -> impl Iterator<Item = &Door> {
        self.doors.values()
    }
}

impl Door {
    fn new(upstream: &Upstream, queue: u32, before: Option<&Self>) -> Self {
        let limits = Limits {
            slots: upstream.slots,
            queue,
        };
        let cell = match before {
            // Another server behind the same name starts afresh.
            Some(old) if old.upstream.address == upstream.address => {
                old.cell.resize(limits);
                Arc::clone(&old.cell)
            }
            _ => Arc::new(Cell::new(limits)),
        };
        Self {
            upstream: upstream.clone(),
            cell,
        }
    }

    /// Its slots and queue.
    pub(crate) fn gate(&self) -> &Arc<Gate> {
        self.cell.gate()
    }

    /// The same, if any request has come to it.
    pub(crate) fn used_gate(&self) -> Option<&Arc<Gate>> {
        self.cell.made()
    }
}

impl Kept {
    fn new(service: &Service) -> Self {
        Self {
            ids: Ids::new(service.limits.window),
            hot: Hot::new(),
            budget: Mutex::new(Budget::new()),
            holds: Mutex::new(Limit::new(service.limits.queue)),
        }
    }

    /// Counts a first try towards the retry budget.
    pub(crate) fn first_try(&self, percent: u8) {
        self.with_budget(|budget| budget.first_try(percent));
    }

    /// Takes a retry out of the budget.
    pub(crate) fn retry(&self) -> bool {
        self.with_budget(Budget::retry)
    }

    /// Lets a request wait for its shard's owner.
    pub(crate) fn hold(&self, caller: IpAddr) -> Result<Hold<'_>, Reason> {
        let entered = self.holds().enter(caller);
        match entered {
            Ok(()) => Ok(Hold { kept: self, caller }),
            Err(Refusal::Full) => Err(Reason::QueueFull),
            Err(Refusal::Share) => Err(Reason::CallerShare),
        }
    }

    fn holds(&self) -> MutexGuard<'_, Limit<IpAddr>> {
        self.holds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with_budget<T>(&self, act: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut budget)
    }
}

impl Drop for Hold<'_> {
    fn drop(&mut self) {
        self.kept.holds().leave(&self.caller);
    }
}

//! The services in force, with what is kept for each from one manifest to the next.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU32, Ordering},
};

use crate::{gate::Gate, ids::Ids};
use copperwell_keyspace::{
    HashMap, ServiceName, UpstreamName,
    manifest::{Manifest, Service, Upstream},
};
use copperwell_policy::budget::Budget;

/// The services of one manifest.
#[derive(Debug, Default)]
pub(crate) struct Config {
    /// By name.
    pub(crate) services: HashMap<ServiceName, Arc<Serving>>,
}

/// A service in force.
#[derive(Debug)]
pub(crate) struct Serving {
    /// As the manifest declares it.
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
    /// Its slots and queue.
    pub(crate) gate: Arc<Gate>,
}

/// What is kept of a service from one manifest to the next.
#[derive(Debug)]
pub(crate) struct Kept {
    /// The keys of requests that are not repeatable.
    pub(crate) ids: Ids,
    budget: Mutex<Budget>,
    held: AtomicU32,
}

/// A request that waits for its shard to get an owner, counted until it is dropped.
pub(crate) struct Hold<'a> {
    kept: &'a Kept,
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
        let doors = service.upstreams.iter().map(|upstream| {
            let old = before.and_then(|old| old.doors.get(&upstream.name));
            let door = Door::new(upstream, service.limits.queue, old);
            (upstream.name.clone(), door)
        });
        Self {
            service: service.clone(),
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
        let gate = match before {
            // Another server behind the same name starts afresh.
            Some(old) if old.upstream.address == upstream.address => {
                old.gate.resize(upstream.slots, queue);
                Arc::clone(&old.gate)
            }
            _ => Arc::new(Gate::new(upstream.slots, queue)),
        };
        Self {
            upstream: upstream.clone(),
            gate,
        }
    }
}

impl Kept {
    fn new(service: &Service) -> Self {
        Self {
            ids: Ids::new(service.limits.window),
            budget: Mutex::new(Budget::new()),
            held: AtomicU32::new(0),
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

    /// Lets a request wait for its shard's owner, beside at most `most - 1` others.
    pub(crate) fn hold(&self, most: u32) -> Option<Hold<'_>> {
        let before = self.held.fetch_add(1, Ordering::AcqRel);
        let hold = Hold { kept: self };
        (before < most).then_some(hold)
    }

    fn with_budget<T>(&self, act: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut budget)
    }
}

impl Drop for Hold<'_> {
    fn drop(&mut self) {
        self.kept.held.fetch_sub(1, Ordering::AcqRel);
    }
}

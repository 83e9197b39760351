//! How many requests of a service run at this daemon, and how often they are tried again.
//!
//! Lock order: the table of services, then one service. No lock is held across an await.

use std::{
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use copperwell_keyspace::{HashMap, ServiceName, manifest::Service};
use copperwell_message::Reason;
use copperwell_policy::{
    budget::Budget,
    limit::{Limit, Refusal},
};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Services that are remembered; more are forgotten while nothing of them runs.
const SERVICES_MAX: usize = 1024;

/// Limits and budgets of all services.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    services: Mutex<HashMap<ServiceName, Arc<Gate>>>,
}

/// The limit and the retry budget of one service.
#[derive(Debug)]
pub(crate) struct Gate {
    state: Mutex<State>,
    parts: Arc<Semaphore>,
}

#[derive(Debug)]
struct State {
    limit: Limit<IpAddr>,
    budget: Budget,
    /// Parts of requests over several keys that may be under way.
    parts_most: usize,
}

/// A request's place; it is given back when this is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    gate: Arc<Gate>,
    caller: IpAddr,
}

impl Admission {
    /// Takes a place for a request.
    pub(crate) fn enter(&self, service: &Service, caller: IpAddr) -> Result<Place, Reason> {
        let gate = self.gate(service);
        gate.enter(service, caller)?;
        Ok(Place { gate, caller })
    }

    fn gate(&self, service: &Service) -> Arc<Gate> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(gate) = services.get(&service.name) {
            return gate.clone();
        }
        if services.len() >= SERVICES_MAX {
            services.retain(|_, gate| Arc::strong_count(gate) > 1);
        }
        let gate = Arc::new(Gate::new(service.limits.in_flight));
        services.insert(service.name.clone(), gate.clone());
        gate
    }
}

impl Gate {
    fn new(most: u32) -> Self {
        let state = State {
            limit: Limit::new(most),
            budget: Budget::new(),
            parts_most: 0,
        };
        Self {
            state: Mutex::new(state),
            parts: Arc::new(Semaphore::new(0)),
        }
    }

    /// Waits in turn for room for the parts of a request over several keys; `most` of all such
    /// requests may be under way. Dropping the permit gives the room back.
    ///
    /// A request that began before its turn would only take slots from those before it, and all
    /// would miss their deadlines half done.
    pub(crate) async fn turn(&self, parts: usize, most: usize) -> Option<OwnedSemaphorePermit> {
        self.resize(most.max(parts));
        let parts = u32::try_from(parts).ok()?;
        self.parts.clone().acquire_many_owned(parts).await.ok()
    }

    fn resize(&self, most: usize) {
        let mut state = self.state();
        if most > state.parts_most {
            self.parts.add_permits(most - state.parts_most);
            state.parts_most = most;
        } else {
            let too_many = state.parts_most - most;
            state.parts_most -= self.parts.forget_permits(too_many);
        }
    }

    /// Counts the first try of a request, or of a part of one.
    pub(crate) fn first_try(&self, service: &Service) {
        let percent = service.limits.retry_percent;
        self.state().budget.first_try(percent);
    }

    /// Whether the budget pays for one more try.
    pub(crate) fn retry(&self) -> bool {
        self.state().budget.retry()
    }

    fn enter(&self, service: &Service, caller: IpAddr) -> Result<(), Reason> {
        let mut state = self.state();
        state.limit.set_most(service.limits.in_flight);
        let entered = state.limit.enter(caller);
        entered.map_err(|refusal| match refusal {
            Refusal::Full => Reason::ServiceLimit,
            Refusal::Share => Reason::CallerShare,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Place {
    /// The gate through which the request came.
    pub(crate) fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.gate.state().limit.leave(&self.caller);
    }
}

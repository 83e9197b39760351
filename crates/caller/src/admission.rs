//! How many requests of a service run at this daemon, and how often they are tried again.
//!
//! Lock order: the table of services, then one service. No lock is held across an await.

use std::{
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use crate::scheduler::Rota;
use copperwell_keyspace::{HashMap, ServiceName, manifest::Service};
use copperwell_message::Reason;
use copperwell_policy::{
    budget::Budget,
    limit::{Limit, Refusal},
};

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
    rota: Arc<Rota>,
}

#[derive(Debug)]
struct State {
    limit: Limit<IpAddr>,
    budget: Budget,
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
        };
        Self {
            state: Mutex::new(state),
            rota: Arc::default(),
        }
    }

    /// The turns of requests over several keys.
    pub(crate) fn rota(&self) -> &Arc<Rota> {
        &self.rota
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

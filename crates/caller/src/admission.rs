//! Concurrency limits and retry budgets of services at this daemon.
//!
//! Lock order: the table of services, then one service. No lock is held across an await.

use std::{
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use crate::scheduler::Scheduler;
use copperwell_keyspace::{HashMap, ServiceName, manifest::Service};
use copperwell_message::Reason;
use copperwell_policy::{
    budget::Budget,
    limit::{Limit, Refusal},
};

/// The number of services above which those without requests in flight are dropped.
const SERVICES_MAX: usize = 1024;

/// The concurrency limits and retry budgets of all services.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    services: Mutex<HashMap<ServiceName, Arc<ServiceAdmission>>>,
}

/// The concurrency limit, the retry budget and the part scheduler of one service.
#[derive(Debug)]
pub(crate) struct ServiceAdmission {
    state: Mutex<State>,
    scheduler: Arc<Scheduler>,
}

#[derive(Debug)]
struct State {
    limit: Limit<IpAddr>,
    budget: Budget,
}

/// Permission to run one request; dropping it releases the request's share of the limit.
#[derive(Debug)]
pub(crate) struct Permit {
    admission: Arc<ServiceAdmission>,
    caller: IpAddr,
}

impl Admission {
    /// Admits a request, or refuses it at once; requests never wait here.
    ///
    /// # Errors
    ///
    /// Returns the [`Reason`] of the limit that the request would exceed.
    pub(crate) fn admit(&self, service: &Service, caller: IpAddr) -> Result<Permit, Reason> {
        let admission = self.service_admission(service);
        admission.admit(service, caller)?;
        Ok(Permit { admission, caller })
    }

    fn service_admission(&self, service: &Service) -> Arc<ServiceAdmission> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(admission) = services.get(&service.name) {
            return admission.clone();
        }
        if services.len() >= SERVICES_MAX {
            services.retain(|_, admission| Arc::strong_count(admission) > 1);
        }
        let admission = Arc::new(ServiceAdmission::new(service.limits.in_flight));
        services.insert(service.name.clone(), admission.clone());
        admission
    }
}

impl ServiceAdmission {
    fn new(in_flight_max: u32) -> Self {
        let state = State {
            limit: Limit::new(in_flight_max),
            budget: Budget::new(),
        };
        Self {
            state: Mutex::new(state),
            scheduler: Arc::default(),
        }
    }

    /// Returns the scheduler of the parts of multi-key requests.
    pub(crate) fn scheduler(&self) -> &Arc<Scheduler> {
        &self.scheduler
    }

    /// Records the first attempt of a request, or of one of its parts, which adds to the retry
    /// budget.
    pub(crate) fn record_first_attempt(&self, service: &Service) {
        let percent = service.limits.retry_percent;
        self.state().budget.record_first_attempt(percent);
    }

    /// Takes one retry from the budget; returns `false` if the budget does not cover it.
    pub(crate) fn take_retry(&self) -> bool {
        self.state().budget.withdraw()
    }

    fn admit(&self, service: &Service, caller: IpAddr) -> Result<(), Reason> {
        let mut state = self.state();
        state.limit.set_max(service.limits.in_flight);
        let admitted = state.limit.acquire(caller);
        admitted.map_err(|refusal| match refusal {
            Refusal::Full => Reason::ServiceLimit,
            Refusal::Share => Reason::CallerShare,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Permit {
    /// Returns the admission state of the request's service.
    pub(crate) fn admission(&self) -> &Arc<ServiceAdmission> {
        &self.admission
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.state().limit.release(&self.caller);
    }
}

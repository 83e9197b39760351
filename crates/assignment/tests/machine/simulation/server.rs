//! Simulated servers and the keys that they hold.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use copperwell_assignment::order::{Action, Order, Outcome};
use copperwell_routing::{Key, registry::Upstream};

use super::sample;

/// How much longer a grant may last by a server's clock.
const CLOCK_DRIFT_FACTOR: f64 = 1.02;

/// A server and the keys that it holds.
pub(crate) struct Server {
    pub(crate) upstream: Arc<Upstream>,
    /// Whether the server is registered.
    pub(crate) is_listed: bool,
    /// Whether its process runs.
    pub(crate) is_up: bool,
    /// Whether orders reach it.
    pub(crate) is_reachable: bool,
    /// Whether the leader cannot open a connection to it.
    pub(crate) is_path_lost: bool,
    /// Whether a connection to its present run is open.
    pub(super) is_connected: bool,
    grants: Vec<Grant>,
    /// The highest fencing token that it has received for each sampled key.
    highest_fences: BTreeMap<Key, u64>,
}

#[derive(Clone, Copy)]
pub(super) struct Grant {
    first: Key,
    last: Key,
    pub(super) fence: u64,
    until: Duration,
}

pub(crate) fn upstream(number: usize, born: u64) -> Arc<Upstream> {
    let port = 9_000 + u16::try_from(number).unwrap();
    Arc::new(Upstream {
        id: format!("u{number}").into(),
        born,
        service: "cups".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "here".into(),
        slots: 2,
        is_draining: false,
        warmup: Duration::ZERO,
    })
}

impl Server {
    pub(crate) fn new(upstream: Arc<Upstream>) -> Self {
        Self {
            upstream,
            is_listed: true,
            is_up: true,
            is_reachable: true,
            is_path_lost: false,
            is_connected: true,
            grants: Vec::new(),
            highest_fences: BTreeMap::new(),
        }
    }

    /// Ends the process, which loses its state.
    pub(crate) fn crash(&mut self) {
        self.is_up = false;
        self.is_connected = false;
        self.grants.clear();
        self.highest_fences.clear();
    }

    /// Sets how much longer it warms up, as its registration says.
    pub(crate) fn set_warmup(&mut self, left: Duration) {
        let mut upstream = (*self.upstream).clone();
        upstream.warmup = left;
        self.upstream = Arc::new(upstream);
    }

    /// Starts a new run under the same name.
    pub(crate) fn restart(&mut self) {
        let mut upstream = (*self.upstream).clone();
        upstream.born += 1;
        self.upstream = Arc::new(upstream);
        self.is_up = true;
        self.is_listed = true;
    }

    pub(crate) fn drain(&mut self) {
        let mut upstream = (*self.upstream).clone();
        upstream.is_draining = true;
        self.upstream = Arc::new(upstream);
    }

    pub(super) fn apply_order(
        &mut self,
        order: &Order,
        arrived: Duration,
        now: Duration,
    ) -> Outcome {
        let covers = |grant: &Grant| grant.first <= order.last && order.first <= grant.last;
        match &order.action {
            Action::Grant { hold, .. } => {
                let keys = sample().filter(|key| (order.first..=order.last).contains(key));
                let keys: Vec<Key> = keys.collect();
                let highest = keys
                    .iter()
                    .filter_map(|key| self.highest_fences.get(key))
                    .max();
                if highest.is_some_and(|highest| *highest > order.fence) {
                    return Outcome::Fenced;
                }
                for key in keys {
                    self.highest_fences.insert(key, order.fence);
                }
                let until = arrived + hold.mul_f64(CLOCK_DRIFT_FACTOR);
                let same = self.grants.iter_mut().find(|grant| {
                    (grant.first, grant.last, grant.fence) == (order.first, order.last, order.fence)
                });
                match same {
                    Some(grant) => grant.until = grant.until.max(until),
                    None if until > now => self.grants.push(Grant {
                        first: order.first,
                        last: order.last,
                        fence: order.fence,
                        until,
                    }),
                    None => {}
                }
                Outcome::Done { handover: None }
            }
            Action::Release => {
                let mut kept = Vec::new();
                for grant in self.grants.drain(..) {
                    if !covers(&grant) || grant.fence > order.fence {
                        kept.push(grant);
                        continue;
                    }
                    if grant.first < order.first {
                        let last = order.first - 1;
                        kept.push(Grant { last, ..grant });
                    }
                    if order.last < grant.last {
                        let first = order.last + 1;
                        kept.push(Grant { first, ..grant });
                    }
                }
                self.grants = kept;
                let handover = Some("left".to_owned());
                Outcome::Done { handover }
            }
        }
    }

    pub(super) fn grant_of(&self, key: Key, now: Duration) -> Option<Grant> {
        let own = self.grants.iter().filter(|grant| {
            (grant.first..=grant.last).contains(&key) && now < grant.until && self.is_up
        });
        own.max_by_key(|grant| grant.fence).copied()
    }

    pub(super) fn holds(&self, key: Key, now: Duration) -> bool {
        self.grant_of(key, now).is_some()
    }
}

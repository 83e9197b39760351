//! Routing of requests from ingress to the daemon that leads the shard's group.
//!
//! A request is sent to the leader first, then to its standby, then to both through relays; each
//! next attempt is made only if the previous daemon certainly did not run the request. Once no
//! daemon has accepted a request, the route is down: one request at a time probes it while the
//! others wait, so that the loss of a leader causes no retry storm.
//!
//! Lock order: the table of routes, then one route. No lock is held across an await.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::{Network, metrics::Metrics};
use copperwell_keyspace::{DaemonName, HashMap, Member, ServiceName, manifest::Service};
use copperwell_message::{Body, Head, Reason, Request, Response, Verdict};
use copperwell_policy::backoff::Backoff;
use tokio::{
    sync::{Semaphore, SemaphorePermit, watch},
    time::{Instant, sleep_until, timeout_at},
};

/// The number of routes above which those without requests are dropped.
const ROUTES_MAX: usize = 8192;

/// The first delay after no daemon accepted a request.
const BACKOFF_MIN: Duration = Duration::from_millis(10);

/// The longest delay between two attempts.
const BACKOFF_MAX: Duration = Duration::from_millis(200);

/// The maximum number of relays that are tried for each unreachable daemon.
const RELAYS_PER_DAEMON_MAX: usize = 2;

/// How long the hop by which the last request was accepted is tried first.
const PREFERENCE_TTL: Duration = Duration::from_secs(5);

/// The `Retry-After` of a request for whose key no leader could be reached.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Finds the daemon that accepts a request.
#[derive(Debug)]
pub(crate) struct Router<N> {
    network: Arc<N>,
    metrics: Metrics,
    routes: Mutex<HashMap<RouteId, Arc<Route>>>,
}

/// Identifies a route. Shards of a service that have the same leader share one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RouteId {
    service: ServiceName,
    leader: DaemonName,
}

/// The reachability of the daemons that may lead a group.
#[derive(Debug)]
struct Route {
    /// Whether no daemon accepted the last request.
    is_down: watch::Sender<bool>,
    /// Held by the request that probes whether a daemon accepts requests again.
    probe: Semaphore,
    /// The hop by which the last request was accepted.
    preferred: Mutex<Option<Preferred>>,
}

/// The hop that is tried first, until the preference expires.
#[derive(Debug, Clone)]
struct Preferred {
    hop: Hop,
    expires_at: Instant,
}

/// The daemon that a request is sent to, and the relay if it is not sent directly.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Hop {
    to: Member,
    relay: Option<Member>,
}

/// Permission to send a request over a route.
enum SendPermit<'a> {
    /// The route is up, as far as is known.
    Unrestricted,
    /// The route is down, and this request probes whether it is up again.
    Probe(#[expect(dead_code, reason = "held until it is dropped")] SemaphorePermit<'a>),
}

/// A request that may be sent repeatedly until a daemon accepts it.
struct PendingRequest<'a> {
    head: &'a Head,
    /// The body for the first attempt.
    body: Option<Body>,
    /// The buffered body for further attempts; `None` if the body is streamed.
    replay: Option<bytes::Bytes>,
    deadline: Instant,
}

impl<N: Network> Router<N> {
    /// Returns the number of daemons that accept callers' requests.
    pub(crate) fn ingress_count(&self) -> usize {
        self.network.ingress_count()
    }

    pub(crate) fn new(network: Arc<N>, metrics: Metrics) -> Self {
        Self {
            network,
            metrics,
            routes: Mutex::default(),
        }
    }

    /// Sends a request until a daemon accepts it or its deadline is too close for another attempt.
    pub(crate) async fn send(
        &self,
        service: &Service,
        request: Request,
        deadline: Instant,
    ) -> Response {
        let Request { head, body } = request;
        let mut pending = PendingRequest {
            head: &head,
            replay: body.as_full(),
            body: Some(body),
            deadline,
        };
        let backoff = Backoff::new(BACKOFF_MIN, BACKOFF_MAX);
        let mut last = Response::refusal(Verdict::NotRun, Reason::NoLeader);
        for attempt in 1.. {
            let leaders = self.network.leaders(&service.name, head.shard);
            let delay = backoff.delay(attempt, &mut rand::rng());
            let retry_at = (Instant::now() + delay).min(deadline);
            let Some(leader) = leaders.first() else {
                if retry_at >= deadline {
                    break;
                }
                sleep_until(retry_at).await;
                continue;
            };
            let route = self.route(service, leader);
            // The permit is held during the delay after the attempt, which spaces out the probes.
            let permit = route.acquire(retry_at).await;
            if permit.is_some() {
                last = self.try_all(&route, &leaders, &mut pending).await;
                if !may_try_next(&last) || pending.is_consumed() {
                    return last;
                }
                route.is_down.send_replace(true);
            }
            if retry_at >= deadline {
                break;
            }
            route.wait_until_up(retry_at).await;
        }
        last.with_retry_after(RETRY_AFTER)
    }

    /// Tries each daemon that may lead until one accepts the request.
    async fn try_all(
        &self,
        route: &Route,
        leaders: &[Member],
        pending: &mut PendingRequest<'_>,
    ) -> Response {
        let mut last = Response::refusal(Verdict::NotRun, Reason::NoLeader);
        let mut unreachable = Vec::new();
        let mut hops = direct_hops(leaders);
        if let Some(preferred) = route.preferred(leaders) {
            hops.retain(|hop| *hop != preferred);
            hops.insert(0, preferred);
        }
        for hop in hops {
            last = self.attempt(route, &hop, pending, &last).await;
            if !may_try_next(&last) || pending.is_consumed() {
                return last;
            }
            let is_unreachable = last.reply.reason == Some(Reason::NoLeader);
            if hop.relay.is_none() && is_unreachable {
                unreachable.push(hop.to);
            }
        }
        for to in unreachable {
            for relay in self
                .network
                .relays(&to)
                .into_iter()
                .take(RELAYS_PER_DAEMON_MAX)
            {
                let hop = Hop {
                    to: to.clone(),
                    relay: Some(relay),
                };
                last = self.attempt(route, &hop, pending, &last).await;
                if !may_try_next(&last) || pending.is_consumed() {
                    return last;
                }
            }
        }
        last
    }

    /// Sends the request by one hop; `previous` is the response of the previous attempt.
    async fn attempt(
        &self,
        route: &Route,
        hop: &Hop,
        pending: &mut PendingRequest<'_>,
        previous: &Response,
    ) -> Response {
        let Some(request) = pending.next_request() else {
            return Response::refusal(previous.reply.verdict, Reason::NoLeader);
        };
        let sending = async {
            match &hop.relay {
                None => self.network.send(&hop.to, request).await,
                Some(relay) => self.network.send_via(relay, &hop.to, request).await,
            }
        };
        let response = match timeout_at(pending.deadline, sending).await {
            Ok(response) => response,
            Err(_) => Response::refusal(Verdict::MayHaveRun, Reason::DeadlinePassed),
        };
        match response.reply.reason {
            Some(reason) if may_try_next(&response) => self.metrics.record_retry(reason),
            Some(reason) if is_unanswered(reason) => {}
            _ => route.record_success(hop),
        }
        response
    }

    fn route(&self, service: &Service, leader: &Member) -> Arc<Route> {
        let id = RouteId {
            service: service.name.clone(),
            leader: leader.name.clone(),
        };
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(route) = routes.get(&id) {
            return route.clone();
        }
        if routes.len() >= ROUTES_MAX {
            routes.retain(|_, route| Arc::strong_count(route) > 1);
        }
        let route = Arc::new(Route::new());
        routes.insert(id, route.clone());
        route
    }
}

impl Route {
    fn new() -> Self {
        Self {
            is_down: watch::Sender::new(false),
            probe: Semaphore::new(1),
            preferred: Mutex::default(),
        }
    }

    /// Waits for permission to send: all requests may while the route is up, one at a time while it
    /// is down. Returns `None` if another request probes the route and it stays down until
    /// `deadline`.
    async fn acquire(&self, deadline: Instant) -> Option<SendPermit<'_>> {
        if !*self.is_down.borrow() {
            return Some(SendPermit::Unrestricted);
        }
        if let Ok(permit) = self.probe.try_acquire() {
            return Some(SendPermit::Probe(permit));
        }
        self.wait_until_up(deadline)
            .await
            .then_some(SendPermit::Unrestricted)
    }

    /// Waits until the route is up; returns `false` if it is still down at `deadline`.
    async fn wait_until_up(&self, deadline: Instant) -> bool {
        let mut is_down = self.is_down.subscribe();
        let recovered = timeout_at(deadline, is_down.wait_for(|is_down| !is_down)).await;
        matches!(recovered, Ok(Ok(_)))
    }

    /// Records that a request was accepted by `hop`.
    fn record_success(&self, hop: &Hop) {
        let preferred = Preferred {
            hop: hop.clone(),
            expires_at: Instant::now() + PREFERENCE_TTL,
        };
        *self.lock() = Some(preferred);
        self.is_down
            .send_if_modified(|is_down| std::mem::replace(is_down, false));
    }

    /// Returns the hop that accepted the last request, unless that has expired or the daemon is no
    /// candidate for leader any more.
    fn preferred(&self, leaders: &[Member]) -> Option<Hop> {
        let preferred = self.lock().clone()?;
        let is_fresh = Instant::now() < preferred.expires_at;
        (is_fresh && leaders.contains(&preferred.hop.to)).then_some(preferred.hop)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Preferred>> {
        self.preferred
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl PendingRequest<'_> {
    /// Returns the request for the next attempt, with the remaining deadline; `None` if its body
    /// was consumed.
    fn next_request(&mut self) -> Option<Request> {
        let body = self.body.take();
        let body = body.or_else(|| self.replay.clone().map(Body::full))?;
        let mut head = self.head.clone();
        head.deadline = self.deadline.saturating_duration_since(Instant::now());
        Some(Request { head, body })
    }

    /// Returns whether the body was consumed, so that the request cannot be sent again.
    fn is_consumed(&self) -> bool {
        self.body.is_none() && self.replay.is_none()
    }
}

fn direct_hops(leaders: &[Member]) -> Vec<Hop> {
    let hops = leaders.iter().map(|leader| Hop {
        to: leader.clone(),
        relay: None,
    });
    hops.collect()
}

/// Returns whether there was no response, so that it is unknown whether the daemon accepts
/// requests.
fn is_unanswered(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::ConnectionSilent | Reason::ConnectionLost | Reason::DeadlinePassed
    )
}

/// Returns whether the daemon did not lead or could not be reached, so that another one may be
/// tried.
fn may_try_next(response: &Response) -> bool {
    let was_rejected = matches!(
        response.reply.reason,
        Some(Reason::NotLeader | Reason::NoLeader | Reason::Stopping)
    );
    was_rejected && response.reply.verdict == Verdict::NotRun
}

//! Handles a request from its arrival to its response.

use std::{
    net::IpAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use crate::{
    attempts::Attempts,
    dialect::{Dialect, Metadata},
    fingerprint::{Identity, host_of},
    metrics::{Metrics, Stage},
    pools::ConnectionPools,
    queue::Queues,
    rejection::Rejection,
    relay::{self, Relay, Terms},
    request_log::{RequestContext, RequestLog},
    selector::Selector,
    trail::{Refusal, Trail},
    view::View,
};
use copperwell_caller::{
    body::{self, RequestBody, ResponseBody},
    server::{Handler, Limits},
};
use copperwell_memory::Budget;
use copperwell_message::{Body, Reason, Request, Response, Serve, Verdict};
use copperwell_routing::configuration::{Configuration, Route};
use http::{HeaderName, HeaderValue, StatusCode, request::Parts, response};
use hyper::body::Incoming;
use prometheus_client::registry::Registry;
use tokio::{sync::Semaphore, time::Instant};
use tokio_util::sync::CancellationToken;

/// The largest request head until a configuration is in force, in bytes.
const HEAD_BYTES_DEFAULT: usize = 32 << 10;

/// The smallest head buffer that hyper accepts, in bytes.
const HEAD_BYTES_MIN: usize = 8 << 10;

/// The timeout for a request head, including idle time, until a configuration is in force.
const HEAD_TIMEOUT_DEFAULT: Duration = Duration::from_secs(15);

/// The most requests of other daemons that are in flight, so that they leave room for those of this daemon's callers.
const RELAYED_MAX: usize = 256;

/// The most header fields of a request.
const HEADERS_MAX: usize = 100;

/// Forwards callers' requests directly to upstreams.
#[derive(Debug)]
pub struct Gateway<D> {
    dialect: D,
    view: Arc<View>,
    selector: Selector,
    pools: ConnectionPools,
    metrics: Metrics,
    request_log: RequestLog,
    connections_max: usize,
    budget: Budget,
    /// When a stopping daemon ends all requests.
    ends_at: OnceLock<Instant>,
    /// Bounds the requests of other daemons that are in flight.
    relayed_permits: Semaphore,
    /// Cancels requests that still wait for an upstream's response.
    cancellation: CancellationToken,
}

/// A request that was parsed and matched to a route.
struct Accepted {
    metadata: Metadata,
    route: Arc<Route>,
    parts: Parts,
    body: Body,
    identity: Identity,
    arrived: Instant,
    deadline: Instant,
    /// The terms under which another daemon sends it on; `None` if its caller has sent it here.
    terms: Option<Terms>,
}

impl<D: Dialect> Gateway<D> {
    /// Creates a gateway that routes by `view`, accepts at most `connections_max` connections, and buffers no more of
    /// bodies than `budget` has room for.
    #[must_use]
    pub fn new(
        dialect: D,
        view: Arc<View>,
        metrics: Metrics,
        connections_max: usize,
        budget: Budget,
    ) -> Self {
        let queues = Arc::new(Queues::new(metrics.queue.clone()));
        let relay = Relay::new(view.keys.helpers.clone(), view.zone.clone());
        let relay = relay.with_budget(budget.clone());
        Self {
            dialect,
            selector: Selector {
                view: view.clone(),
                queues,
                relay: Arc::new(relay),
            },
            pools: ConnectionPools::new(&budget),
            view,
            request_log: RequestLog::new(metrics.clone()),
            metrics,
            connections_max,
            budget,
            ends_at: OnceLock::new(),
            relayed_permits: Semaphore::new(RELAYED_MAX),
            cancellation: CancellationToken::new(),
        }
    }

    pub(crate) fn view(&self) -> &View {
        &self.view
    }

    pub(crate) fn dialect(&self) -> &D {
        &self.dialect
    }

    pub(crate) fn pools(&self) -> &ConnectionPools {
        &self.pools
    }

    /// Registers the metrics of requests that are sent through other daemons in `registry`.
    pub fn register_relay(&self, registry: &mut Registry) {
        self.selector.relay.register(registry);
    }

    /// Makes responses close callers' connections from now on, so that their next requests go elsewhere, and refuses
    /// requests that cannot be expected to end before `ends_at`.
    pub fn close_connections(&self, ends_at: Instant) {
        let _ = self.ends_at.set(ends_at);
    }

    /// Cancels and answers every request that waits for an upstream's response, now and from now on.
    pub fn cancel_requests(&self) {
        self.cancellation.cancel();
    }

    /// Removes the connections and records of upstreams that are no longer registered.
    pub fn remove_stale(&self) {
        let registry = self.view.registry();
        self.pools.retain(|id| registry.get(id).is_some());
        self.view
            .keys
            .limits
            .retain(|id| registry.get(id).is_some());
        drop(registry);
        self.view.crash_tracker.maintain();
        self.view.maintain_warmups();
        self.selector.queues.remove_unused();
        self.view.log_evacuated_keys();
    }

    /// Returns the metrics of the connections to upstreams.
    #[must_use]
    pub fn connection_metrics(&self) -> &copperwell_backend::metrics::Metrics {
        self.pools.metrics()
    }

    async fn accept(
        &self,
        request: http::Request<Option<Incoming>>,
        caller: IpAddr,
        arrived: Instant,
    ) -> Result<Accepted, (Rejection, Option<HeaderValue>)> {
        let (parts, incoming) = request.into_parts();
        let metadata = self.dialect.parse_metadata(&parts.headers);
        let metadata = metadata.map_err(|_| (Rejection::new(Reason::BadRequest), None))?;
        let id = metadata.id.clone();
        let refuse = |reason| (Rejection::new(reason), Some(id.clone()));
        let configuration = self.view.configuration();
        let configuration = configuration.ok_or_else(|| refuse(Reason::NoConfiguration))?;
        let route = route_of(&configuration, &parts).ok_or_else(|| refuse(Reason::NoRoute))?;
        let timeout = metadata.deadline.unwrap_or(route.timeout);
        let deadline = arrived + timeout.min(route.timeout);
        let limit = configuration.limits.body_bytes;
        let read = body::read_request(incoming, limit, deadline, &self.budget).await;
        let RequestBody { prefix, body } = read.map_err(|refusal| refuse(refusal.reason))?;
        Ok(Accepted {
            identity: Identity::new(caller, &parts, &prefix),
            metadata,
            route,
            parts,
            body,
            arrived,
            deadline,
            terms: None,
        })
    }

    /// Accepts a request that another daemon sends on, by the same routes.
    fn accept_relayed(&self, request: Request) -> Result<Accepted, Reason> {
        if self.is_stopping() {
            return Err(Reason::Stopping);
        }
        let arrived = Instant::now();
        let deadline = arrived + request.head.deadline;
        let (parts, terms, identity) = relay::parts_of(request.head).ok_or(Reason::Protocol)?;
        let metadata = self.dialect.parse_metadata(&parts.headers);
        let metadata = metadata.map_err(|_| Reason::BadRequest)?;
        let configuration = self.view.configuration();
        // A route of an older configuration may lead elsewhere.
        let configuration = configuration
            .filter(|known| known.version >= terms.configuration)
            .ok_or(Reason::NoConfiguration)?;
        let route = route_of(&configuration, &parts).ok_or(Reason::NoRoute)?;
        Ok(Accepted {
            metadata,
            route,
            parts,
            body: request.body,
            identity,
            arrived,
            deadline,
            terms: Some(terms),
        })
    }

    /// Refuses a request of which the route is not known, or not any more.
    fn refuse_unrouted(
        &self,
        rejection: Rejection,
        trail: &Trail,
        id: Option<HeaderValue>,
        total: Duration,
    ) -> http::Response<ResponseBody> {
        let refusal = trail.refuse(rejection);
        let unknown_id = HeaderValue::from_static("?");
        let context = RequestContext {
            id: id.as_ref().unwrap_or(&unknown_id),
            route: None,
            key: None,
            fingerprint: 0,
            versions: self.view.routing_versions(),
        };
        self.request_log.refused(context, &refusal, trail, total);
        refusal.to_response(&self.dialect, id.as_ref())
    }

    async fn serve_caller(&self, accepted: Accepted) -> http::Response<ResponseBody> {
        let id = accepted.metadata.id.clone();
        match self.run(accepted).await {
            Ok(response) => into_http_response(response),
            Err(refusal) => refusal.to_response(&self.dialect, Some(&id)),
        }
    }

    /// Sends a request to upstreams until it is answered or finally fails.
    async fn run(&self, accepted: Accepted) -> Result<Response, Refusal> {
        let Accepted {
            metadata,
            route,
            parts,
            body,
            identity,
            arrived,
            deadline,
            terms,
        } = accepted;
        let is_repeatable = route.is_repeatable;
        let context = RequestContext {
            id: &metadata.id,
            route: Some(&route),
            key: metadata.key,
            fingerprint: identity.fingerprint,
            versions: self.view.routing_versions(),
        };
        let mut guard = CancellationGuard {
            request_log: &self.request_log,
            context,
            trail: Trail::default(),
            arrived,
            is_over: false,
        };
        let attempts = Attempts {
            request_log: &self.request_log,
            context,
            dialect: &self.dialect,
            view: &self.view,
            selector: &self.selector,
            pools: &self.pools,
            identity,
            metrics: &self.metrics,
            route: &route,
            metadata: &metadata,
            arrived,
            deadline,
            terms,
            budget: &self.budget,
            ends_at: &self.ends_at,
        };
        let result = tokio::select! {
            result = attempts.run(parts, body, &mut guard.trail) => result,
            () = self.cancellation.cancelled() => guard.trail.finish(Rejection::stopping()),
        };
        guard.is_over = true;
        let trail = &guard.trail;
        let total = arrived.elapsed();
        self.metrics.observe(Stage::Total, is_repeatable, total);
        match &result {
            Ok(response) => {
                let status = response.reply.status;
                self.metrics.record_response(status);
                self.request_log.answered(context, status, trail, total);
            }
            Err(refusal) => self.request_log.refused(context, refusal, trail, total),
        }
        result
    }
}

impl<D: Dialect> Serve for Gateway<D> {
    /// Serves a request of another daemon, which does not reach an upstream for it.
    async fn serve(&self, request: Request) -> Response {
        self.metrics.relayed_in.inc();
        // The permit is held until the head of the response is known.
        let Ok(_permit) = self.relayed_permits.try_acquire() else {
            return Response::refusal(Verdict::NotRun, Reason::ServiceLimit);
        };
        let accepted = match self.accept_relayed(request) {
            Ok(accepted) => accepted,
            Err(reason) => return Response::refusal(Verdict::NotRun, reason),
        };
        match self.run(accepted).await {
            Ok(response) => response,
            Err(refusal) => {
                let mut response = Response::refusal(refusal.verdict(), refusal.reason());
                response.reply.retry_after = refusal.retry_after();
                response
            }
        }
    }
}

impl<D: Dialect> Handler for Gateway<D> {
    async fn handle(
        &self,
        request: http::Request<Option<Incoming>>,
        caller: IpAddr,
    ) -> http::Response<ResponseBody> {
        let arrived = Instant::now();
        self.metrics.requests.inc();
        match self.accept(request, caller, arrived).await {
            Ok(accepted) => self.serve_caller(accepted).await,
            // It was not sent anywhere.
            Err((rejection, id)) => {
                self.refuse_unrouted(rejection, &Trail::default(), id, arrived.elapsed())
            }
        }
    }

    fn broken_off(&self, head: &response::Parts) -> http::Response<ResponseBody> {
        let metadata = self.dialect.parse_metadata(&head.headers);
        let id = metadata.ok().map(|metadata| metadata.id);
        let rejection = Rejection::new(Reason::ConnectionLost);
        self.refuse_unrouted(rejection, &Trail::with_answer(), id, Duration::ZERO)
    }

    fn may_start_early(&self, head: &Parts) -> bool {
        if !self.budget.has_capacity() {
            return false;
        }
        let configuration = self.view.configuration();
        let route = configuration.and_then(|known| route_of(&known, head));
        route.is_some_and(|route| route.is_repeatable)
    }

    fn is_stopping(&self) -> bool {
        self.ends_at.get().is_some()
    }

    fn budget(&self) -> Budget {
        self.budget.clone()
    }

    fn on_slow_caller(&self) {
        self.metrics.slow_heads.inc();
    }

    fn limits(&self) -> Limits {
        let configuration = self.view.configuration();
        let limits = configuration.map(|known| known.limits);
        Limits {
            connections: self.connections_max,
            // The head timeout also covers the idle time before a head, so the longer limit applies.
            head_time: limits.map_or(HEAD_TIMEOUT_DEFAULT, |limits| {
                limits.head_time.max(limits.idle_time)
            }),
            headers: HEADERS_MAX,
            head_bytes: limits
                .map_or(HEAD_BYTES_DEFAULT, |limits| limits.head_bytes)
                .max(HEAD_BYTES_MIN),
        }
    }
}

/// Logs a cancelled request if it is dropped before the request is over.
struct CancellationGuard<'a> {
    request_log: &'a RequestLog,
    context: RequestContext<'a>,
    trail: Trail,
    arrived: Instant,
    is_over: bool,
}

impl Drop for CancellationGuard<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            self.request_log
                .cancelled(self.context, &self.trail, self.arrived.elapsed());
        }
    }
}

/// Returns the route of a request, by its host without a port and its path.
#[must_use]
pub fn route_of(configuration: &Configuration, parts: &Parts) -> Option<Arc<Route>> {
    let host = host_of(parts)?;
    configuration.route(host, parts.uri.path()).cloned()
}

/// Converts an upstream's response into one for the caller.
fn into_http_response(response: Response) -> http::Response<ResponseBody> {
    let Response { reply, body } = response;
    let mut http = http::Response::new(ResponseBody::new(body));
    *http.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = http.headers_mut();
    for (name, value) in &reply.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    http
}

//! One request from its arrival to its answer.

use std::{
    net::IpAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    attempts::{Lanes, Tries},
    beliefs::Beliefs,
    crash_tracker::Guard,
    dialect::{Asked, Dialect},
    metrics::{Metrics, Stage},
    queue::Rooms,
    refusal::Refusal,
    request_log::{Story, Subject},
    selector::Finder,
};
use copperwell_caller::{
    body::{self, Answer},
    server::{Handler, Limits},
};
use copperwell_message::{Body, Reason, Response};
use copperwell_routing::configuration::{Configuration, Route};
use http::{HeaderName, HeaderValue, StatusCode, header::HOST, request::Parts};
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The largest request head before a configuration says otherwise, in bytes.
const HEAD_BYTES: usize = 32 << 10;

/// The smallest buffer that the HTTP library takes for a head, in bytes.
const HEAD_BYTES_MIN: usize = 8 << 10;

/// How long a caller may take or stay idle before a configuration says otherwise.
const HEAD_TIME: Duration = Duration::from_secs(15);

/// The most header fields of a request.
const HEADERS: usize = 100;

/// Sends callers' requests straight to upstreams.
#[derive(Debug)]
pub struct Gateway<D> {
    dialect: D,
    beliefs: Arc<Beliefs>,
    finder: Finder,
    lanes: Lanes,
    guard: Guard,
    metrics: Metrics,
    story: Story,
    connections: usize,
    is_stopping: AtomicBool,
    /// Ends what still waits for an upstream's answer.
    cut: CancellationToken,
}

/// A request that was understood.
struct Accepted {
    asked: Asked,
    route: Arc<Route>,
    parts: Parts,
    body: Body,
    arrived: Instant,
    until: Instant,
}

impl<D: Dialect> Gateway<D> {
    /// A gateway that goes by `beliefs` and keeps at most `connections` callers' connections.
    #[must_use]
    pub fn new(dialect: D, beliefs: Arc<Beliefs>, metrics: Metrics, connections: usize) -> Self {
        let rooms = Arc::new(Rooms::new(metrics.queue.clone()));
        Self {
            dialect,
            finder: Finder {
                beliefs: beliefs.clone(),
                rooms,
            },
            lanes: Lanes::default(),
            guard: Guard::new(beliefs.keys.quarantine.clone(), metrics.clone()),
            beliefs,
            story: Story::new(metrics.clone()),
            metrics,
            connections,
            is_stopping: AtomicBool::new(false),
            cut: CancellationToken::new(),
        }
    }

    /// Asks callers from now on to go elsewhere with their next request.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Answers every request that still waits for an upstream's answer, now and from now on.
    pub fn cut(&self) {
        self.cut.cancel();
    }

    /// Closes what is kept for upstreams that are gone.
    pub fn tidy(&self) {
        let registry = self.beliefs.registry();
        self.lanes.retain(|id| registry.get(id).is_some());
        self.guard.tidy(|id| registry.get(id).is_some());
        self.finder.rooms.tidy();
    }

    /// The counters of connections to upstreams.
    #[must_use]
    pub fn lanes(&self) -> &copperwell_backend::metrics::Metrics {
        self.lanes.metrics()
    }

    async fn accept(
        &self,
        request: http::Request<Option<Incoming>>,
        arrived: Instant,
    ) -> Result<Accepted, (Refusal, Option<HeaderValue>)> {
        let (parts, incoming) = request.into_parts();
        let asked = self.dialect.asked(&parts.headers);
        let asked = asked.map_err(|_| (Refusal::not_run(Reason::BadRequest), None))?;
        let id = asked.id.clone();
        let refuse = |reason| (Refusal::not_run(reason), Some(id.clone()));
        let configuration = self.beliefs.configuration();
        let configuration = configuration.ok_or_else(|| refuse(Reason::NoConfiguration))?;
        let route = route_of(&configuration, &parts).ok_or_else(|| refuse(Reason::NoRoute))?;
        let deadline = asked.deadline.unwrap_or(route.timeout);
        let until = arrived + deadline.min(route.timeout);
        let limit = configuration.limits.body_bytes;
        let read = body::read(incoming, limit, until).await;
        let body = read.map_err(|refusal| refuse(refusal.reason))?.body;
        Ok(Accepted {
            asked,
            route,
            parts,
            body,
            arrived,
            until,
        })
    }

    async fn serve(&self, accepted: Accepted) -> http::Response<Answer> {
        let Accepted {
            asked,
            route,
            parts,
            body,
            arrived,
            until,
        } = accepted;
        let is_repeatable = route.is_repeatable;
        let subject = Subject {
            id: &asked.id,
            route: Some(&route),
            key: asked.key,
            basis: self.beliefs.basis(),
        };
        let mut leaving = Leaving {
            story: &self.story,
            subject,
            arrived,
            is_over: false,
        };
        let tries = Tries {
            story: &self.story,
            subject,
            dialect: &self.dialect,
            beliefs: &self.beliefs,
            finder: &self.finder,
            lanes: &self.lanes,
            guard: &self.guard,
            metrics: &self.metrics,
            route: &route,
            asked: &asked,
            arrived,
            until,
        };
        let mut sent = Vec::new();
        let outcome = tokio::select! {
            outcome = tries.run(parts, body, &mut sent) => outcome,
            () = self.cut.cancelled() => Err(match sent.is_empty() {
                true => Refusal::not_run(Reason::Stopping),
                false => Refusal::may_have_run(Reason::Stopping),
            }),
        };
        leaving.is_over = true;
        let whole = arrived.elapsed();
        self.metrics.time(Stage::Whole, is_repeatable, whole);
        match outcome {
            Ok(response) => {
                let status = response.reply.status;
                self.metrics.answer(status);
                self.story.answered(subject, status, sent.len(), whole);
                pass_on(response)
            }
            Err(refusal) => {
                self.story.refused(subject, &refusal, whole);
                refusal.answer(&self.dialect, Some(&asked.id))
            }
        }
    }
}

impl<D: Dialect> Handler for Gateway<D> {
    async fn handle(
        &self,
        request: http::Request<Option<Incoming>>,
        _: IpAddr,
    ) -> http::Response<Answer> {
        let arrived = Instant::now();
        self.metrics.requests.inc();
        match self.accept(request, arrived).await {
            Ok(accepted) => self.serve(accepted).await,
            Err((refusal, id)) => {
                let unknown = HeaderValue::from_static("?");
                let subject = Subject {
                    id: id.as_ref().unwrap_or(&unknown),
                    route: None,
                    key: None,
                    basis: self.beliefs.basis(),
                };
                self.story.refused(subject, &refusal, arrived.elapsed());
                refusal.answer(&self.dialect, id.as_ref())
            }
        }
    }

    fn may_begin_early(&self, head: &Parts) -> bool {
        let configuration = self.beliefs.configuration();
        let route = configuration.and_then(|known| route_of(&known, head));
        route.is_some_and(|route| route.is_repeatable)
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    fn slow(&self) {
        self.metrics.slow_heads.inc();
    }

    fn limits(&self) -> Limits {
        let configuration = self.beliefs.configuration();
        let limits = configuration.map(|known| known.limits);
        Limits {
            connections: self.connections,
            // An idle connection waits for the next head, so the longer of both limits counts.
            head_time: limits.map_or(HEAD_TIME, |limits| limits.head_time.max(limits.idle_time)),
            headers: HEADERS,
            head_bytes: limits
                .map_or(HEAD_BYTES, |limits| limits.head_bytes)
                .max(HEAD_BYTES_MIN),
        }
    }
}

/// Logs that the caller left, if it is dropped before the request is over.
struct Leaving<'a> {
    story: &'a Story,
    subject: Subject<'a>,
    arrived: Instant,
    is_over: bool,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            self.story.cancelled(self.subject, self.arrived.elapsed());
        }
    }
}

fn route_of(configuration: &Configuration, parts: &Parts) -> Option<Arc<Route>> {
    let host = match parts.headers.get(HOST) {
        Some(host) => host.to_str().ok()?,
        None => parts.uri.host()?,
    };
    let host = host.split_once(':').map_or(host, |(name, _)| name);
    configuration.route(host, parts.uri.path()).cloned()
}

/// An upstream's answer for the caller.
fn pass_on(response: Response) -> http::Response<Answer> {
    let Response { reply, body } = response;
    let mut http = http::Response::new(Answer::new(body));
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

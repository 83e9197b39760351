//! One request from a caller to the owner of its key and back.

use std::{
    net::IpAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use crate::{
    Network,
    admission::{Admission, Place},
    body::{self, Answer},
    explain::{self, Refusal},
    header,
    metrics::Metrics,
    multi_key::Join,
    parse::{self, Target},
    route::Router,
};
use copperwell_keyspace::manifest::Service;
use copperwell_message::{Head, Reason, Repeat, Request, Response, Verdict};
use http::{HeaderName, HeaderValue, StatusCode, header::RETRY_AFTER};
use hyper::body::Incoming;
use tokio::time::Instant;

/// When a caller is to come back, unless somebody knows better.
const COME_BACK: Duration = Duration::from_secs(1);

/// Takes callers' requests.
#[derive(Debug)]
pub struct Ingress<N> {
    network: Arc<N>,
    router: Arc<Router<N>>,
    admission: Admission,
    metrics: Metrics,
    wall: fn() -> SystemTime,
}

/// A request that was understood and let in.
struct Accepted {
    service: Arc<Service>,
    place: Place,
    head: Head,
    keys: Vec<String>,
    body: body::Read,
    deadline: Instant,
}

impl<N: Network> Ingress<N> {
    /// An ingress that sends requests over `network`.
    #[must_use]
    pub fn new(network: Arc<N>, metrics: Metrics) -> Self {
        Self {
            router: Arc::new(Router::new(network.clone(), metrics.clone())),
            network,
            admission: Admission::default(),
            metrics,
            wall: SystemTime::now,
        }
    }

    /// Judges idempotency keys by another clock.
    #[must_use]
    pub fn with_wall(mut self, wall: fn() -> SystemTime) -> Self {
        self.wall = wall;
        self
    }

    /// Serves one request of a caller.
    ///
    /// Dropping the future, or the answer's body, cancels the request.
    pub async fn handle(
        &self,
        request: http::Request<Option<Incoming>>,
        caller: IpAddr,
    ) -> http::Response<Answer> {
        self.metrics.requests.inc();
        let (response, place) = match self.accept(request, caller).await {
            Ok(accepted) => self.send(accepted).await,
            Err(refusal) => (refusal.response(), None),
        };
        if let Some(reason) = response.reply.reason {
            self.metrics.refuse(reason);
        }
        answer(response, place)
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    async fn accept(
        &self,
        request: http::Request<Option<Incoming>>,
        caller: IpAddr,
    ) -> Result<Accepted, Refusal> {
        let (parts, incoming) = request.into_parts();
        let asked = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let target = parse::target(asked)?;
        let service = self.service(&target)?;
        let mut head = parse::head(&parts, &target, &service, caller, (self.wall)())?;
        check_keys(&target, &head)?;
        let place = self.admission.enter(&service, caller)?;
        let deadline = Instant::now() + head.deadline;
        let body = body::read(incoming, service.limits.body, deadline).await?;
        head.fingerprint = parse::fingerprint(&head, &body.seen);
        let keys = target.keys.into_iter().map(str::to_owned).collect();
        Ok(Accepted {
            service,
            place,
            head,
            keys,
            body,
            deadline,
        })
    }

    fn service(&self, target: &Target<'_>) -> Result<Arc<Service>, Refusal> {
        self.network.service(target.service).ok_or_else(|| {
            let detail = "The manifest in force has no service of this name.";
            Refusal::new(Reason::UnknownService, detail)
        })
    }

    async fn send(&self, accepted: Accepted) -> (Response, Option<Place>) {
        let Accepted {
            service,
            place,
            head,
            keys,
            body,
            deadline,
        } = accepted;
        if keys.len() == 1 {
            place.gate().first_try(&service);
            let request = Request {
                head,
                body: body.body,
            };
            let response = self.router.send(&service, request, deadline).await;
            return (response, Some(place));
        }
        let Some(body) = body.body.as_full() else {
            let detail = "The body is too long for a request over several keys.";
            let refusal = Refusal::new(Reason::TooLarge, detail);
            return (refusal.response(), Some(place));
        };
        let join = Join {
            router: self.router.clone(),
            service,
            gate: place.gate().clone(),
            metrics: self.metrics.clone(),
            head,
            keys,
            body,
            deadline,
        };
        (join.run().await, Some(place))
    }
}

/// Refuses several keys where each would need an idempotency key of its own.
fn check_keys(target: &Target<'_>, head: &Head) -> Result<(), Refusal> {
    if target.keys.len() > 1 && matches!(head.repeat, Repeat::Once(_)) {
        let detail = "A request that runs at most once has one key; send one request for each key.";
        return Err(Refusal::new(Reason::BadRequest, detail));
    }
    Ok(())
}

fn answer(response: Response, place: Option<Place>) -> http::Response<Answer> {
    let Response { reply, mut body } = response;
    if reply.reason.is_some() && body.is_end() {
        body = explain::body(&reply, None);
    }
    let mut http = http::Response::new(Answer::placed(body, place));
    *http.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = http.headers_mut();
    for (name, value) in &reply.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    headers.insert(
        header::VERDICT,
        HeaderValue::from_static(reply.verdict.as_str()),
    );
    if let Some(reason) = reply.reason {
        headers.insert(header::REASON, HeaderValue::from_static(reason.as_str()));
    }
    let apt = reply.verdict == Verdict::NotRun && matches!(reply.status, 429 | 503);
    let after = reply.retry_after.or(apt.then_some(COME_BACK));
    if let Some(after) = after {
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds.max(1)));
    }
    http
}

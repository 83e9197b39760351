//! Processing of one request, from the caller to the owner of its key and back.

use std::{
    net::IpAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use crate::{
    Network,
    admission::{Admission, Permit},
    body::{self, ResponseBody},
    header,
    metrics::Metrics,
    multi_key::MultiKeyRequest,
    parse::{self, Target},
    refusal::{self, Refusal},
    route::Router,
};
use copperwell_keyspace::manifest::Service;
use copperwell_memory::Budget;
use copperwell_message::{Head, Reason, Repeat, Request, Response, Verdict};
use http::{HeaderName, HeaderValue, StatusCode, header::RETRY_AFTER};
use hyper::body::Incoming;
use tokio::time::Instant;

/// The `Retry-After` of a refusal that has none of its own.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles callers' requests.
#[derive(Debug)]
pub struct Ingress<N> {
    network: Arc<N>,
    router: Arc<Router<N>>,
    admission: Admission,
    metrics: Metrics,
    wall_clock: fn() -> SystemTime,
}

/// A request that was parsed and admitted.
struct Accepted {
    service: Arc<Service>,
    permit: Permit,
    head: Head,
    keys: Vec<String>,
    body: body::RequestBody,
    deadline: Instant,
}

impl<N: Network> Ingress<N> {
    /// Creates an ingress that sends requests over `network`.
    #[must_use]
    pub fn new(network: Arc<N>, metrics: Metrics) -> Self {
        Self {
            router: Arc::new(Router::new(network.clone(), metrics.clone())),
            network,
            admission: Admission::default(),
            metrics,
            wall_clock: SystemTime::now,
        }
    }

    /// Uses another wall clock, against which the timestamps of idempotency keys are checked.
    #[must_use]
    pub fn with_wall_clock(mut self, wall_clock: fn() -> SystemTime) -> Self {
        self.wall_clock = wall_clock;
        self
    }

    /// Serves one request of a caller.
    ///
    /// Dropping the future, or the body of the response, cancels the request.
    pub async fn handle(
        &self,
        request: http::Request<Option<Incoming>>,
        caller: IpAddr,
    ) -> http::Response<ResponseBody> {
        self.metrics.requests.inc();
        let (response, permit) = match self.accept(request, caller).await {
            Ok(accepted) => self.send(accepted).await,
            Err(refusal) => (refusal.response(), None),
        };
        if let Some(reason) = response.reply.reason {
            self.metrics.record_refusal(reason);
        }
        http_response(response, permit)
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
        let path_and_query = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let target = parse::target(path_and_query)?;
        let service = self.service(&target)?;
        let mut head = parse::head(&parts, &target, &service, caller, (self.wall_clock)())?;
        check_single_key(&target, &head)?;
        let permit = self.admission.admit(&service, caller)?;
        let deadline = Instant::now() + head.deadline;
        let body = body::read_request(
            incoming,
            service.limits.body,
            deadline,
            &Budget::unlimited(),
        )
        .await?;
        head.fingerprint = parse::fingerprint(&head, &body.prefix);
        let keys = target.keys.into_iter().map(str::to_owned).collect();
        Ok(Accepted {
            service,
            permit,
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

    async fn send(&self, accepted: Accepted) -> (Response, Option<Permit>) {
        let Accepted {
            service,
            permit,
            head,
            keys,
            body,
            deadline,
        } = accepted;
        if keys.len() == 1 {
            permit.admission().record_first_attempt(&service);
            let request = Request {
                head,
                body: body.body,
            };
            let response = self.router.send(&service, request, deadline).await;
            return (response, Some(permit));
        }
        let Some(body) = body.body.as_full() else {
            let detail = "The body is too long for a request over several keys.";
            let refusal = Refusal::new(Reason::TooLarge, detail);
            return (refusal.response(), Some(permit));
        };
        let multi_key = MultiKeyRequest {
            router: self.router.clone(),
            service,
            admission: permit.admission().clone(),
            metrics: self.metrics.clone(),
            head,
            keys,
            body,
            deadline,
        };
        (multi_key.run().await, Some(permit))
    }
}

/// Refuses several keys with one idempotency key, since each would need its own.
fn check_single_key(target: &Target<'_>, head: &Head) -> Result<(), Refusal> {
    if target.keys.len() > 1 && matches!(head.repeat, Repeat::Once(_)) {
        let detail = "A request that runs at most once has one key; send one request for each key.";
        return Err(Refusal::new(Reason::BadRequest, detail));
    }
    Ok(())
}

fn http_response(response: Response, permit: Option<Permit>) -> http::Response<ResponseBody> {
    let Response { reply, mut body } = response;
    if reply.reason.is_some() && body.is_end() {
        body = refusal::body(&reply, None);
    }
    let mut response = http::Response::new(ResponseBody::with_permit(body, permit));
    *response.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
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
    let is_retryable = reply.verdict == Verdict::NotRun && matches!(reply.status, 429 | 503);
    let retry_after = reply
        .retry_after
        .or(is_retryable.then_some(DEFAULT_RETRY_AFTER));
    if let Some(retry_after) = retry_after {
        let seconds = retry_after.as_secs() + u64::from(retry_after.subsec_nanos() > 0);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds.max(1)));
    }
    response
}

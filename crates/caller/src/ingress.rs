//! One request from a caller to the leader of its key and back.

use std::{net::IpAddr, sync::Arc, time::Duration};

use crate::{
    Network, header,
    metrics::Metrics,
    parse::{self, Target},
};
use bytes::{Bytes, BytesMut};
use copperwell_keyspace::{Member, manifest::Service};
use copperwell_message::{Body, Head, Reason, Reply, Request, Response, Verdict};
use http::{HeaderName, HeaderValue, StatusCode, header::RETRY_AFTER, request::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, sleep, timeout_at};

/// Bytes of a body that ingress reads before it sends the request on; a body that ends within them
/// can be sent again.
const BODY_READ_AHEAD: usize = 64 << 10;

/// Time between two tries while no leader takes the request.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Takes callers' requests.
#[derive(Debug)]
pub struct Ingress<N> {
    network: Arc<N>,
    metrics: Metrics,
}

impl<N: Network> Ingress<N> {
    /// An ingress that sends requests over `network`.
    #[must_use]
    pub fn new(network: Arc<N>, metrics: Metrics) -> Self {
        Self { network, metrics }
    }

    /// Serves one request of a caller.
    pub async fn handle(
        &self,
        request: http::Request<Incoming>,
        caller: IpAddr,
    ) -> http::Response<Body> {
        self.metrics.requests.inc();
        let response = match self.accept(request, caller).await {
            Ok((service, request)) => self.send(&service, request).await,
            Err(reason) => Response::refusal(Verdict::NotRun, reason),
        };
        if let Some(reason) = response.reply.reason {
            self.metrics.refuse(reason);
        }
        answer(response)
    }

    async fn accept(
        &self,
        request: http::Request<Incoming>,
        caller: IpAddr,
    ) -> Result<(Arc<Service>, Request), Reason> {
        let (parts, body) = request.into_parts();
        let asked = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let target = parse::target(asked)?;
        let service = self
            .network
            .service(target.service)
            .ok_or(Reason::UnknownService)?;
        let request = read(&parts, &target, &service, body, caller).await?;
        Ok((service, request))
    }

    /// Tries the daemons that may lead, until one takes the request or the deadline passes.
    async fn send(&self, service: &Service, request: Request) -> Response {
        let deadline = Instant::now() + request.head.deadline;
        let Request { head, body } = request;
        let again = body.as_full();
        let mut body = Some(body);
        loop {
            let leaders = self.network.leaders(&service.name, head.shard);
            let mut last = Response::refusal(Verdict::NotRun, Reason::NoLeader);
            for leader in &leaders {
                let Some(next) = body.take().or_else(|| again.clone().map(Body::full)) else {
                    return last;
                };
                last = self.try_one(leader, &head, next, deadline).await;
                if !may_try_next(&last) {
                    return last;
                }
                let reason = last.reply.reason.unwrap_or(Reason::Protocol);
                self.metrics.retry(reason);
            }
            if Instant::now() + RETRY_PAUSE >= deadline {
                return last.with_retry_after(Duration::from_secs(1));
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn try_one(&self, to: &Member, head: &Head, body: Body, deadline: Instant) -> Response {
        let mut head = head.clone();
        head.deadline = deadline.saturating_duration_since(Instant::now());
        let sent = self.network.send(to, Request { head, body });
        match timeout_at(deadline, sent).await {
            Ok(response) => response,
            Err(_) => Response::refusal(Verdict::MayHaveRun, Reason::DeadlinePassed),
        }
    }
}

/// Whether another daemon may be asked: this one did not lead or could not be reached.
fn may_try_next(response: &Response) -> bool {
    let elsewhere = matches!(
        response.reply.reason,
        Some(Reason::NotLeader | Reason::NoLeader | Reason::ConnectionRefused | Reason::Stopping)
    );
    elsewhere && response.reply.verdict == Verdict::NotRun
}

async fn read(
    parts: &Parts,
    target: &Target<'_>,
    service: &Service,
    incoming: Incoming,
    caller: IpAddr,
) -> Result<Request, Reason> {
    let mut head = parse::head(parts, target, service, caller)?;
    let (seen, body) = read_ahead(incoming, service.limits.body).await?;
    head.fingerprint =
        Head::fingerprint_of(&head.service, &head.key, &head.method, &head.path, &seen);
    Ok(Request { head, body })
}

/// Reads the first part of a body and streams the rest.
async fn read_ahead(mut incoming: Incoming, limit: u64) -> Result<(Bytes, Body), Reason> {
    let mut seen = BytesMut::new();
    while seen.len() < BODY_READ_AHEAD {
        let Some(frame) = incoming.frame().await else {
            let seen = seen.freeze();
            return Ok((seen.clone(), Body::full(seen)));
        };
        let frame = frame.map_err(|_| Reason::BadRequest)?;
        seen.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
        if seen.len() as u64 > limit {
            return Err(Reason::TooLarge);
        }
    }
    let seen = seen.freeze();
    let (to, body) = Body::channel();
    let left = limit - seen.len() as u64;
    tokio::spawn(pump(incoming, to, left));
    Ok((seen.clone(), body.with_prefix(seen)))
}

/// Passes the rest of a body on; leaves it severed if the caller stops or sends too much.
async fn pump(mut incoming: Incoming, to: copperwell_message::Sender, mut left: u64) {
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else { return };
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        let Some(rest) = left.checked_sub(chunk.len() as u64) else {
            return;
        };
        left = rest;
        if to.send(chunk).await.is_err() {
            return;
        }
    }
    to.end().await;
}

fn answer(response: Response) -> http::Response<Body> {
    let Response { reply, mut body } = response;
    if reply.reason.is_some() && body.is_end() {
        body = explain(&reply);
    }
    let mut http = http::Response::new(body);
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
    if let Some(after) = reply.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(after.as_secs().max(1)));
    }
    http
}

/// The body of a refusal, for people who read it.
fn explain(reply: &Reply) -> Body {
    let reason = reply.reason.map_or("unknown", Reason::as_str);
    Body::full(format!("{reason}: {}\n", reply.verdict.as_str()))
}

//! The tries of one request, until an answer or a failure that stands.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use crate::{
    beliefs::Beliefs,
    crash_tracker::Guard,
    dialect::{Asked, Dialect, Outbound},
    metrics::{Metrics, Stage},
    refusal::Refusal,
    request_log::{Story, Subject},
    selector::{Finder, Wish},
};
use copperwell_backend::{
    exchange::{Exchange, Failed},
    lane::Lane,
    metrics::Metrics as LaneMetrics,
    pool::Timing,
};
use copperwell_message::{Body, HashMap, Head, Reason, Response, Verdict};
use copperwell_routing::{
    Key, ServiceName, UpstreamId,
    configuration::Route,
    load::End,
    quarantine::Fingerprint,
    registry::Upstream,
    retry::{self, Next, Tried},
};
use http::{HeaderValue, header::HOST, request::Parts};
use tokio::time::{Instant, sleep};

/// How long a new connection to an upstream may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// How long an unused connection is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// Connections to an upstream that this daemon keeps at most, whatever the upstream takes.
const CONNECTIONS_MAX: u32 = 32;

/// The statuses from which on an upstream says that it failed.
const FAILURE_STATUS: u16 = 500;

/// The part of the objective within which a request must have found an upstream.
const PATIENCE: f64 = 0.7;

/// The connections to each upstream.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    lanes: Mutex<HashMap<UpstreamId, Arc<Lane>>>,
    metrics: LaneMetrics,
}

/// The tries of one request.
pub(crate) struct Tries<'a, D> {
    pub(crate) story: &'a Story,
    pub(crate) subject: Subject<'a>,
    pub(crate) dialect: &'a D,
    pub(crate) beliefs: &'a Arc<Beliefs>,
    pub(crate) finder: &'a Finder,
    pub(crate) lanes: &'a Lanes,
    pub(crate) guard: &'a Guard,
    pub(crate) metrics: &'a Metrics,
    pub(crate) route: &'a Route,
    pub(crate) asked: &'a Asked,
    pub(crate) arrived: Instant,
    pub(crate) until: Instant,
}

/// What became of one try.
struct Try {
    end: End,
    took: Duration,
    outcome: Result<Response, Failed>,
}

impl Lanes {
    /// The counters of connections.
    pub(crate) fn metrics(&self) -> &LaneMetrics {
        &self.metrics
    }

    /// Closes the connections to upstreams that are gone.
    pub(crate) fn retain(&self, is_alive: impl Fn(&str) -> bool) {
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        lanes.retain(|id, _| is_alive(id));
    }

    fn of(&self, upstream: &Upstream, connections: u32) -> Arc<Lane> {
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        let known = lanes.get(&upstream.id);
        if let Some(lane) = known.filter(|lane| lane.address() == upstream.address) {
            return lane.clone();
        }
        let timing = Timing {
            connect: CONNECT_LIMIT,
            idle: IDLE_LIMIT,
            warm: 0,
        };
        let limit = connections.clamp(1, CONNECTIONS_MAX);
        let lane = Lane::new(upstream.address, limit, timing, self.metrics.clone());
        let lane = Arc::new(lane);
        lanes.insert(upstream.id.clone(), lane.clone());
        lane
    }
}

impl<D: Dialect> Tries<'_, D> {
    /// Sends the request until there is an answer or a failure that stands; `sent` gets each upstream
    /// before it is asked.
    pub(crate) async fn run(
        &self,
        parts: Parts,
        body: Body,
        sent: &mut Vec<UpstreamId>,
    ) -> Result<Response, Refusal> {
        let service = self.route.deal().cloned();
        let service = service.ok_or(Refusal::not_run(Reason::NoRoute))?;
        self.beliefs.count_request(&service);
        let wish = self.wish(&service)?;
        let whole = body.as_full();
        let mut once = Some(body);
        let mut stale = None;
        // The answer or failure that stands unless another try does better.
        let mut last: Option<Result<Response, Refusal>> = None;
        let fingerprint = || fingerprint_of(&parts, self.asked.key, whole.as_deref());
        loop {
            if let Some(left) = self.refused_for(fingerprint) {
                return last.unwrap_or(Err(Refusal {
                    retry_after: Some(left),
                    ..Refusal::not_run(Reason::Quarantined)
                }));
            }
            let found = self.finder.find(&wish, sent, stale.take()).await;
            let upstream = match found {
                Ok(upstream) => upstream,
                Err(refusal) => return last.unwrap_or(Err(refusal)),
            };
            if sent.is_empty() {
                let waited = self.arrived.elapsed();
                self.metrics
                    .time(Stage::Queue, self.route.is_repeatable, waited);
            }
            let body = match &whole {
                Some(whole) => Body::full(whole.clone()),
                None => match once.take() {
                    Some(body) => body,
                    None => return last.unwrap_or(Err(Refusal::not_run(Reason::QueueFull))),
                },
            };
            let version = self.beliefs.keys.directory.version();
            sent.push(upstream.id.clone());
            let tried = self.send(&upstream, &parts, body).await;
            let took = tried.took;
            self.look_for_crash(&upstream, &tried, fingerprint);
            let (result, failed) = match judge(tried) {
                Judged::Answer(response) => return Ok(response),
                Judged::Failure(result, failed) => (result, failed),
            };
            let follows = self.follows(failed, sent.len(), whole.is_some(), &service);
            let story = self.story;
            story.failed(
                self.subject,
                &upstream,
                failed,
                sent.len(),
                took,
                follows.as_str(),
            );
            match follows {
                Follows::Try(pause) => sleep(pause).await,
                Follows::NoBudget => {
                    self.metrics.no_retry(failed.reason);
                    return result;
                }
                Follows::Nothing => return result,
            }
            self.metrics.retry(failed.reason);
            if failed.reason == Reason::Fenced {
                stale = Some(version);
            }
            last = Some(result);
        }
    }

    /// How long the request is refused still, since it crashes upstreams.
    fn refused_for(&self, fingerprint: impl Fn() -> Fingerprint) -> Option<Duration> {
        if self.guard.is_idle() {
            return None;
        }
        self.guard.refuses(fingerprint())
    }

    /// Notes what a try says of crashes.
    fn look_for_crash(
        &self,
        upstream: &Upstream,
        tried: &Try,
        fingerprint: impl Fn() -> Fingerprint,
    ) {
        match &tried.outcome {
            Ok(response) if response.reply.reason.is_none() => {
                if !self.guard.is_idle() {
                    self.guard.answered(fingerprint());
                }
            }
            Ok(_) => {}
            Err(failed) => match (failed.reason, failed.verdict) {
                (Reason::ConnectionLost, Verdict::MayHaveRun) => {
                    self.guard.lost(upstream, fingerprint());
                }
                (Reason::ConnectionRefused, _) => self.guard.ended(&upstream.id, upstream.born),
                _ => {}
            },
        }
    }

    fn is_keyed(&self, service: &ServiceName) -> bool {
        let configuration = self.beliefs.configuration();
        let known = configuration
            .as_ref()
            .and_then(|known| known.service(service));
        known.is_some_and(|service| service.is_keyed)
    }

    fn wish(&self, service: &ServiceName) -> Result<Wish, Refusal> {
        let key = match (self.is_keyed(service), self.asked.key) {
            (false, _) => None,
            (true, Some(key)) => {
                let work = self.work();
                self.beliefs.keys.counts.ask(service, key, work);
                Some(key)
            }
            (true, None) => return Err(Refusal::not_run(Reason::BadRequest)),
        };
        let patience = self.route.objective.mul_f64(PATIENCE);
        Ok(Wish {
            service: service.clone(),
            key,
            priority: self.route.priority,
            until: self.until.min(self.arrived + patience),
        })
    }

    async fn send(&self, upstream: &Arc<Upstream>, parts: &Parts, body: Body) -> Try {
        let connections = self.connections_to(upstream);
        let lane = self.lanes.of(upstream, connections);
        let outbound = Outbound {
            method: parts.method.clone(),
            target: parts.uri.clone(),
            headers: parts.headers.clone(),
            id: self.asked.id.clone(),
            upstream: upstream.id.clone(),
        };
        let flight = self.finder.rooms.begin(self.beliefs, &upstream.id);
        let left = self.until.saturating_duration_since(Instant::now());
        let exchange = Exchange::new(lane, left, self.until);
        let outcome = exchange.run(self.dialect, &outbound, body).await;
        let end = end_of(&outcome);
        let took = flight.end(end);
        if end == End::Answered {
            self.note_answer(upstream, took);
        }
        self.metrics
            .time(Stage::Upstream, self.route.is_repeatable, took);
        Try { end, took, outcome }
    }

    /// How long a request like this one usually takes at an upstream.
    fn work(&self) -> Duration {
        let works = self.beliefs.works();
        works.of(&self.route.name, self.route.objective)
    }

    fn note_answer(&self, upstream: &Upstream, took: Duration) {
        let usual = self.work();
        self.beliefs.works().note(&self.route.name, took);
        if self.asked.key.is_some() {
            let counts = &self.beliefs.keys.counts;
            counts.answer(&upstream.service, &upstream.id, took, usual);
        }
    }

    /// This daemon's share of the connections that an upstream takes.
    fn connections_to(&self, upstream: &Upstream) -> u32 {
        let configuration = self.beliefs.configuration();
        let service = configuration
            .as_ref()
            .and_then(|known| known.service(&upstream.service));
        let all = service.map_or(CONNECTIONS_MAX, |service| service.connections);
        let daemons = &self.beliefs.keys.daemons;
        let daemons = daemons.load(std::sync::atomic::Ordering::Relaxed).max(1);
        (all / daemons).max(upstream.slots)
    }

    /// What may follow a try that failed.
    fn follows(
        &self,
        failed: Failed,
        sent: usize,
        is_whole: bool,
        service: &ServiceName,
    ) -> Follows {
        let next = retry::next(&Tried {
            verdict: failed.verdict,
            reason: failed.reason,
            is_repeatable: self.route.is_repeatable,
            sent: u32::try_from(sent).unwrap_or(u32::MAX),
            attempts: self.route.attempts,
            is_keyed: self.asked.key.is_some() && self.is_keyed(service),
            usual: self.work(),
            left: self.until.saturating_duration_since(Instant::now()),
        });
        match next {
            Next::After(pause) if is_whole => {
                if self.beliefs.take_retry(service) {
                    Follows::Try(pause)
                } else {
                    Follows::NoBudget
                }
            }
            _ => Follows::Nothing,
        }
    }
}

/// What follows a try that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Follows {
    /// Another try after this pause.
    Try(Duration),
    /// Nothing, since the budget does not pay for another try.
    NoBudget,
    /// Nothing, since another try is not allowed or of no use.
    Nothing,
}

impl Follows {
    fn as_str(self) -> &'static str {
        match self {
            Self::Try(_) => "yes",
            Self::NoBudget => "no-budget",
            Self::Nothing => "no",
        }
    }
}

/// What a try came to.
enum Judged {
    /// The answer that the caller gets.
    Answer(Response),
    /// A failure, and what the caller gets unless another try does better.
    Failure(Result<Response, Refusal>, Failed),
}

fn judge(tried: Try) -> Judged {
    match tried.outcome {
        Ok(response) if tried.end == End::Answered => Judged::Answer(response),
        Ok(response) => match response.reply.reason {
            Some(reason) => {
                let mut refusal = Refusal::not_run(reason);
                refusal.retry_after = response.reply.retry_after;
                let verdict = Verdict::NotRun;
                Judged::Failure(Err(refusal), Failed { verdict, reason })
            }
            None => {
                let reason = Reason::UpstreamFailed;
                let verdict = Verdict::MayHaveRun;
                Judged::Failure(Ok(response), Failed { verdict, reason })
            }
        },
        Err(failed) => {
            let refusal = match failed.verdict {
                Verdict::NotRun => Refusal::not_run(failed.reason),
                _ => Refusal::may_have_run(failed.reason),
            };
            Judged::Failure(Err(refusal), failed)
        }
    }
}

/// What makes two requests the same to an upstream.
fn fingerprint_of(parts: &Parts, key: Option<Key>, body: Option<&[u8]>) -> Fingerprint {
    let host = parts
        .headers
        .get(HOST)
        .map_or(&b""[..], HeaderValue::as_bytes);
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let key = key.map_or(String::new(), |key| key.to_string());
    let host = String::from_utf8_lossy(host);
    let method = parts.method.as_str();
    Head::fingerprint_of(&host, &key, method, path, body.unwrap_or_default())
}

fn end_of(outcome: &Result<Response, Failed>) -> End {
    match outcome {
        Ok(response) => match response.reply.reason {
            Some(Reason::Fenced) => End::Misdirected,
            Some(_) => End::Shed,
            None if response.reply.status >= FAILURE_STATUS => End::Failed,
            None => End::Answered,
        },
        Err(failed) => match failed.reason {
            Reason::DeadlinePassed | Reason::ConnectionSilent => End::Silent,
            Reason::DeadlineHopeless => End::Cancelled,
            _ => End::Lost,
        },
    }
}

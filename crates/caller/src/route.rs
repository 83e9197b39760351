//! From ingress to the daemon that leads the shard's group.
//!
//! The leader is asked first, then its standby, then both through a relay; the next one only where
//! the one before surely did nothing with the request. Once nobody takes a request, the others wait
//! while one at a time finds out whether somebody does again, so that a lost leader brings no storm.
//!
//! Lock order: the table of ways, then one way. No lock is held across an await.

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

/// Ways that are remembered; more are forgotten while nobody waits on them.
const WAYS_MAX: usize = 8192;

/// The first wait after nobody took a request.
const PAUSE_FIRST: Duration = Duration::from_millis(10);

/// The longest wait between two tries.
const PAUSE_MOST: Duration = Duration::from_millis(200);

/// Relays that are tried for each daemon that cannot be reached.
const RELAYS_MAX: usize = 2;

/// How long the daemon that took the last request is asked first.
const PREFERENCE: Duration = Duration::from_secs(5);

/// When a caller is to come back if the owner of its key could not be reached.
const COME_BACK: Duration = Duration::from_secs(1);

/// Finds the daemon that takes a request.
#[derive(Debug)]
pub(crate) struct Router<N> {
    network: Arc<N>,
    metrics: Metrics,
    ways: Mutex<HashMap<WayId, Arc<Way>>>,
}

/// The shards that have the same leader share a way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct WayId {
    service: ServiceName,
    leader: DaemonName,
}

/// What is known of the daemons that may lead a group.
#[derive(Debug)]
struct Way {
    /// Whether nobody took the last request.
    down: watch::Sender<bool>,
    /// Held by the request that finds out whether somebody takes requests again.
    scout: Semaphore,
    /// Who took the last request.
    preferred: Mutex<Option<Preferred>>,
}

#[derive(Debug, Clone)]
struct Preferred {
    hop: Hop,
    until: Instant,
}

/// The next daemon on a request's way.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Hop {
    to: Member,
    relay: Option<Member>,
}

/// Lets a request try.
enum Pass<'a> {
    /// Somebody takes requests, as far as is known.
    Free,
    /// Nobody took the last one, and this request finds out whether somebody does again.
    Scout(#[expect(dead_code, reason = "held until it is dropped")] SemaphorePermit<'a>),
}

/// A request that may be sent more than once as long as nobody took it.
struct Load<'a> {
    head: &'a Head,
    body: Option<Body>,
    again: Option<bytes::Bytes>,
    deadline: Instant,
}

impl<N: Network> Router<N> {
    /// How many daemons take callers' requests.
    pub(crate) fn ingresses(&self) -> usize {
        self.network.ingresses()
    }

    pub(crate) fn new(network: Arc<N>, metrics: Metrics) -> Self {
        Self {
            network,
            metrics,
            ways: Mutex::default(),
        }
    }

    /// Sends a request until somebody takes it or its deadline is near.
    pub(crate) async fn send(
        &self,
        service: &Service,
        request: Request,
        deadline: Instant,
    ) -> Response {
        let Request { head, body } = request;
        let mut load = Load {
            head: &head,
            again: body.as_full(),
            body: Some(body),
            deadline,
        };
        let backoff = Backoff::new(PAUSE_FIRST, PAUSE_MOST);
        let mut last = Response::refusal(Verdict::NotRun, Reason::NoLeader);
        for tries in 1.. {
            let leaders = self.network.leaders(&service.name, head.shard);
            let pause = backoff.delay(tries, &mut rand::rng());
            let next = (Instant::now() + pause).min(deadline);
            let Some(leader) = leaders.first() else {
                if next >= deadline {
                    break;
                }
                sleep_until(next).await;
                continue;
            };
            let way = self.way(service, leader);
            // Kept through the wait after it, so that scouts keep their distance.
            let pass = way.pass(next).await;
            if pass.is_some() {
                last = self.round(&way, &leaders, &mut load).await;
                if !is_untaken(&last) || load.is_spent() {
                    return last;
                }
                way.down.send_replace(true);
            }
            if next >= deadline {
                break;
            }
            way.rise(next).await;
        }
        last.with_retry_after(COME_BACK)
    }

    /// Asks each daemon that may lead until one takes the request.
    async fn round(&self, way: &Way, leaders: &[Member], load: &mut Load<'_>) -> Response {
        let mut last = Response::refusal(Verdict::NotRun, Reason::NoLeader);
        let mut unreached = Vec::new();
        let mut hops = direct(leaders);
        if let Some(preferred) = way.preferred(leaders) {
            hops.retain(|hop| *hop != preferred);
            hops.insert(0, preferred);
        }
        for hop in hops {
            last = self.try_one(way, &hop, load, &last).await;
            if !is_untaken(&last) || load.is_spent() {
                return last;
            }
            let unreachable = last.reply.reason == Some(Reason::NoLeader);
            if hop.relay.is_none() && unreachable {
                unreached.push(hop.to);
            }
        }
        for to in unreached {
            for relay in self.network.relays(&to).into_iter().take(RELAYS_MAX) {
                let hop = Hop {
                    to: to.clone(),
                    relay: Some(relay),
                };
                last = self.try_one(way, &hop, load, &last).await;
                if !is_untaken(&last) || load.is_spent() {
                    return last;
                }
            }
        }
        last
    }

    /// Sends the request to one daemon; `before` is how the try before it ended.
    async fn try_one(
        &self,
        way: &Way,
        hop: &Hop,
        load: &mut Load<'_>,
        before: &Response,
    ) -> Response {
        let Some(request) = load.take() else {
            return Response::refusal(before.reply.verdict, Reason::NoLeader);
        };
        let sent = async {
            match &hop.relay {
                None => self.network.send(&hop.to, request).await,
                Some(relay) => self.network.send_via(relay, &hop.to, request).await,
            }
        };
        let response = match timeout_at(load.deadline, sent).await {
            Ok(response) => response,
            Err(_) => Response::refusal(Verdict::MayHaveRun, Reason::DeadlinePassed),
        };
        match response.reply.reason {
            Some(reason) if is_untaken(&response) => self.metrics.retry(reason),
            Some(reason) if is_silence(reason) => {}
            _ => way.took(hop),
        }
        response
    }

    fn way(&self, service: &Service, leader: &Member) -> Arc<Way> {
        let id = WayId {
            service: service.name.clone(),
            leader: leader.name.clone(),
        };
        let mut ways = self.ways.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(way) = ways.get(&id) {
            return way.clone();
        }
        if ways.len() >= WAYS_MAX {
            ways.retain(|_, way| Arc::strong_count(way) > 1);
        }
        let way = Arc::new(Way::new());
        ways.insert(id, way.clone());
        way
    }
}

impl Way {
    fn new() -> Self {
        Self {
            down: watch::Sender::new(false),
            scout: Semaphore::new(1),
            preferred: Mutex::default(),
        }
    }

    /// Lets a request try: any one while the way is up, else one at a time. `None` if the way
    /// stays down until `limit` and another request is its scout.
    async fn pass(&self, limit: Instant) -> Option<Pass<'_>> {
        if !*self.down.borrow() {
            return Some(Pass::Free);
        }
        if let Ok(permit) = self.scout.try_acquire() {
            return Some(Pass::Scout(permit));
        }
        self.rise(limit).await.then_some(Pass::Free)
    }

    /// Waits until somebody takes requests again; false if nobody does by `limit`.
    async fn rise(&self, limit: Instant) -> bool {
        let mut down = self.down.subscribe();
        let risen = timeout_at(limit, down.wait_for(|down| !down)).await;
        matches!(risen, Ok(Ok(_)))
    }

    /// Notes that a daemon took a request.
    fn took(&self, hop: &Hop) {
        let preferred = Preferred {
            hop: hop.clone(),
            until: Instant::now() + PREFERENCE,
        };
        *self.lock() = Some(preferred);
        self.down
            .send_if_modified(|down| std::mem::replace(down, false));
    }

    /// Who took the last request, if that was lately and it may still lead.
    fn preferred(&self, leaders: &[Member]) -> Option<Hop> {
        let preferred = self.lock().clone()?;
        let fresh = Instant::now() < preferred.until;
        (fresh && leaders.contains(&preferred.hop.to)).then_some(preferred.hop)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Preferred>> {
        self.preferred
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Load<'_> {
    /// The request with what is left of its deadline; `None` if its body is gone.
    fn take(&mut self) -> Option<Request> {
        let body = self.body.take();
        let body = body.or_else(|| self.again.clone().map(Body::full))?;
        let mut head = self.head.clone();
        head.deadline = self.deadline.saturating_duration_since(Instant::now());
        Some(Request { head, body })
    }

    /// Whether the body is gone, so that the request cannot be sent again.
    fn is_spent(&self) -> bool {
        self.body.is_none() && self.again.is_none()
    }
}

fn direct(leaders: &[Member]) -> Vec<Hop> {
    let hops = leaders.iter().map(|leader| Hop {
        to: leader.clone(),
        relay: None,
    });
    hops.collect()
}

/// Whether nobody answered, so that it is unknown who takes requests.
fn is_silence(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::ConnectionSilent | Reason::ConnectionLost | Reason::DeadlinePassed
    )
}

/// Whether the daemon did not lead or could not be reached, so that another one may be asked.
fn is_untaken(response: &Response) -> bool {
    let elsewhere = matches!(
        response.reply.reason,
        Some(Reason::NotLeader | Reason::NoLeader | Reason::Stopping)
    );
    elsewhere && response.reply.verdict == Verdict::NotRun
}

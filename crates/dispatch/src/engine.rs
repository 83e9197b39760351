//! Serves the requests of the shards that this daemon leads.
//!
//! Lock order: the engine's map of gates, then nothing else. No lock is held across an await.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use crate::{
    gate::{Gate, Slot},
    observation::{CHANNEL, Observation},
    table::{Owner, Pass, Route, Table},
};
use arc_swap::ArcSwapOption;
use copperwell_backend::{Forward, order::Order};
use copperwell_keyspace::{
    HashMap, UpstreamName,
    manifest::{Manifest, Service, Upstream},
};
use copperwell_message::{Body, Head, Reason, Request, Response, Serve, Verdict};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout_at},
};

/// When a caller may come back after a refusal that names no better time.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long a request waits for a shard that has no owner.
const UNOWNED_WAIT: Duration = Duration::from_secs(2);

/// Serves the requests of the shards that this daemon leads.
#[derive(Debug)]
pub struct Engine<F> {
    forward: Arc<F>,
    table: Arc<Table>,
    manifest: ArcSwapOption<Manifest>,
    gates: Mutex<HashMap<UpstreamName, Arc<Gate>>>,
    observed: mpsc::Sender<Observation>,
}

/// Where a request goes.
struct Target {
    owner: Owner,
    pass: Pass,
    slot: Slot,
    upstream: Upstream,
}

impl<F: Forward> Engine<F> {
    /// An engine that sends through `forward` what `table` routes to an upstream.
    #[must_use]
    pub fn new(forward: Arc<F>, table: Arc<Table>) -> (Self, mpsc::Receiver<Observation>) {
        let (observed, observations) = mpsc::channel(CHANNEL);
        let engine = Self {
            forward,
            table,
            manifest: ArcSwapOption::empty(),
            gates: Mutex::default(),
            observed,
        };
        (engine, observations)
    }

    /// Puts a manifest in force.
    pub fn set_manifest(&self, manifest: Arc<Manifest>) {
        self.manifest.store(Some(manifest));
    }

    async fn route(&self, head: &Head, deadline: Instant) -> Result<Owner, Response> {
        let unowned_until = deadline.min(Instant::now() + UNOWNED_WAIT);
        loop {
            let until = match self.table.route(&head.service, head.shard) {
                Route::Elsewhere => return Err(not_run(Reason::NotLeader)),
                Route::Owned(owner) => return Ok(owner),
                Route::Unowned => unowned_until,
                Route::Held => deadline,
            };
            let same = |route: &Route| matches!(route, Route::Unowned | Route::Held);
            let changed = self.table.changed(&head.service, head.shard, same);
            if timeout_at(until, changed).await.is_err() {
                return Err(not_run(Reason::Unowned));
            }
        }
    }

    async fn target(
        &self,
        service: &Service,
        head: &Head,
        deadline: Instant,
    ) -> Result<Target, Response> {
        loop {
            let owner = self.route(head, deadline).await?;
            let Some(upstream) = upstream_of(service, &owner) else {
                return Err(not_run(Reason::Unowned));
            };
            let gate = self.gate(upstream, service.limits.queue);
            let slot = gate.enter(deadline).await.map_err(not_run)?;
            let Ok((now_owner, pass)) = self.table.enter(&head.service, head.shard) else {
                continue;
            };
            if now_owner.upstream != owner.upstream {
                continue;
            }
            return Ok(Target {
                owner: now_owner,
                pass,
                slot,
                upstream: upstream.clone(),
            });
        }
    }

    fn gate(&self, upstream: &Upstream, queue: u32) -> Arc<Gate> {
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        let gate = gates
            .entry(upstream.name.clone())
            .or_insert_with(|| Arc::new(Gate::new(upstream.slots, queue)));
        Arc::clone(gate)
    }

    async fn send(&self, target: Target, request: Request, deadline: Instant) -> Response {
        let now = Instant::now();
        if !target.owner.lease.is_valid(now) {
            return not_run(Reason::LeaseLapsed);
        }
        if now >= deadline {
            return not_run(Reason::DeadlineHopeless);
        }
        let order = Order {
            epoch: target.owner.epoch,
            deadline: deadline - now,
        };
        let forward = self.forward.forward(&target.upstream, order, request);
        match timeout_at(deadline, forward).await {
            Ok(response) => relay(response, target.slot, target.pass),
            Err(_) => Response::refusal(Verdict::MayHaveRun, Reason::DeadlinePassed),
        }
    }

    fn observe(&self, observation: Observation) {
        // The driver has its own heartbeats; a lost observation costs time, not truth.
        let _ = self.observed.try_send(observation);
    }
}

impl<F: Forward> Serve for Engine<F> {
    async fn serve(&self, request: Request) -> Response {
        let deadline = Instant::now() + request.head.deadline;
        let manifest = self.manifest.load_full();
        let service = manifest
            .as_ref()
            .and_then(|held| held.service(&request.head.service));
        let Some(service) = service else {
            return not_run(Reason::UnknownService);
        };
        let target = match self.target(service, &request.head, deadline).await {
            Ok(target) => target,
            Err(refusal) => return refusal,
        };
        let upstream = target.upstream.name.clone();
        let epoch = target.owner.epoch;
        let shard = request.head.shard;
        let response = self.send(target, request, deadline).await;
        match response.reply.reason {
            Some(Reason::Fenced) => self.observe(Observation::Fenced {
                service: service.name.clone(),
                shard,
                upstream,
                epoch,
            }),
            Some(Reason::ConnectionRefused) => self.observe(Observation::Unreachable {
                service: service.name.clone(),
                upstream,
            }),
            _ => {}
        }
        response
    }
}

fn upstream_of<'a>(service: &'a Service, owner: &Owner) -> Option<&'a Upstream> {
    service
        .upstreams
        .iter()
        .find(|upstream| upstream.name == owner.upstream)
}

fn not_run(reason: Reason) -> Response {
    Response::refusal(Verdict::NotRun, reason).with_retry_after(RETRY_AFTER)
}

/// Holds slot and pass until the body is read to its end or dropped.
fn relay(response: Response, slot: Slot, pass: Pass) -> Response {
    if response.body.as_full().is_some() {
        return response;
    }
    let Response { reply, mut body } = response;
    let (to, relayed) = Body::channel();
    tokio::spawn(async move {
        let _held = (slot, pass);
        loop {
            let chunk = tokio::select! {
                chunk = body.chunk() => chunk,
                () = to.closed() => return,
            };
            match chunk {
                None => return to.end().await,
                Some(Err(_)) => return,
                Some(Ok(bytes)) => {
                    if to.send(bytes).await.is_err() {
                        return;
                    }
                }
            }
        }
    });
    Response {
        reply,
        body: relayed,
    }
}

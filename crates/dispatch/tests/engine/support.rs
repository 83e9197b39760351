//! A fake backend and helpers that build requests, owners and manifests.

use std::{
    cell::OnceCell,
    net::{IpAddr, Ipv4Addr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, SystemTime},
};

use copperwell_backend::{Forward, order::Order};
use copperwell_dispatch::{
    Engine, Observation,
    table::{Lease, Owner, Route, Table},
};
use copperwell_keyspace::{
    Epoch, Incarnation,
    manifest::{DataCentre, Fencing, Limits, Manifest, Service, Upstream},
};
use copperwell_message::{
    Body, Class, Head, Reason, Repeat, Reply, Request, Response, Sender, Serve, Verdict,
};
use tokio::{
    sync::mpsc,
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep},
};
use uuid::{NoContext, Timestamp, Uuid};

pub(crate) const SERVICE: &str = "calendar";
pub(crate) const SHARDS: u32 = 4;

/// What the fake backend does with a request.
#[derive(Debug)]
pub(crate) enum Action {
    Answer(Duration, &'static str),
    LongAnswer(usize),
    Fail(Duration, Verdict, Reason),
    Shed(Duration),
    /// Refuses the request as the server with this incarnation.
    Restarted(u64),
    /// Answers with a head and streams this body.
    Stream(Body),
}

/// A request as received by the fake backend.
#[derive(Debug, Clone)]
pub(crate) struct Received {
    pub(crate) upstream: String,
    pub(crate) path: String,
    pub(crate) epoch: Epoch,
    pub(crate) class: Class,
    pub(crate) at: Instant,
}

type Script = dyn Fn(&Upstream, &Request) -> Action + Send + Sync;

/// A fake backend that follows a script and records the requests that it receives.
pub(crate) struct FakeBackend {
    script: Box<Script>,
    received: Mutex<Vec<Received>>,
    running: AtomicU32,
    max_running: AtomicU32,
}

struct Running<'a>(&'a FakeBackend);

impl FakeBackend {
    pub(crate) fn new(
        script: impl Fn(&Upstream, &Request) -> Action + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Self {
            script: Box::new(script),
            received: Mutex::default(),
            running: AtomicU32::new(0),
            max_running: AtomicU32::new(0),
        })
    }

    pub(crate) fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }

    pub(crate) fn count(&self, path: &str) -> usize {
        self.received()
            .iter()
            .filter(|received| received.path == path)
            .count()
    }

    pub(crate) fn running(&self) -> u32 {
        self.running.load(Ordering::SeqCst)
    }

    /// Returns the maximum number of requests that ran concurrently.
    pub(crate) fn max_running(&self) -> u32 {
        self.max_running.load(Ordering::SeqCst)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Forward for FakeBackend {
    async fn forward(&self, upstream: &Upstream, order: Order, request: Request) -> Response {
        self.received.lock().unwrap().push(Received {
            upstream: upstream.name.to_string(),
            path: request.head.path.clone(),
            epoch: order.epoch,
            class: request.head.class,
            at: Instant::now(),
        });
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_running.fetch_max(running, Ordering::SeqCst);
        let _running = Running(self);
        match (self.script)(upstream, &request) {
            Action::Answer(after, body) => {
                sleep(after).await;
                answer(Body::full(body))
            }
            Action::LongAnswer(bytes) => answer(Body::full(vec![b'x'; bytes])),
            Action::Fail(after, verdict, reason) => {
                sleep(after).await;
                Response::refusal(verdict, reason)
            }
            Action::Shed(after) => {
                Response::refusal(Verdict::NotRun, Reason::Shed).with_retry_after(after)
            }
            Action::Restarted(incarnation) => {
                let mut response = Response::refusal(Verdict::NotRun, Reason::Fenced);
                let header = (
                    "copperwell-incarnation".to_owned(),
                    incarnation.to_string().into(),
                );
                response.reply.headers.push(header);
                response
            }
            Action::Stream(body) => answer(body),
        }
    }
}

/// An engine with its table and fake backend.
pub(crate) struct Harness {
    pub(crate) engine: Arc<Engine<FakeBackend>>,
    pub(crate) table: Arc<Table>,
    pub(crate) backend: Arc<FakeBackend>,
    pub(crate) observations: mpsc::Receiver<Observation>,
}

impl Harness {
    /// Creates an engine with two upstreams of two slots each; `a` owns all shards and `b` none.
    pub(crate) fn new(
        script: impl Fn(&Upstream, &Request) -> Action + Send + Sync + 'static,
    ) -> Self {
        Self::with_limits(Limits::default(), script)
    }

    pub(crate) fn with_limits(
        limits: Limits,
        script: impl Fn(&Upstream, &Request) -> Action + Send + Sync + 'static,
    ) -> Self {
        let backend = FakeBackend::new(script);
        let table = Arc::new(Table::new());
        table.add_service(&SERVICE.into(), SHARDS);
        let (engine, observations) =
            Engine::with_wall_clock(Arc::clone(&backend), Arc::clone(&table), wall_time);
        engine.set_manifest(Arc::new(manifest(limits)));
        let harness = Self {
            engine: Arc::new(engine),
            table,
            backend,
            observations,
        };
        for shard in 0..SHARDS {
            harness.set_owner(shard, "a", 10, 1);
        }
        harness
    }

    pub(crate) async fn serve(&self, request: Request) -> Response {
        self.engine.serve(request).await
    }

    pub(crate) fn spawn(&self, request: Request) -> JoinHandle<Response> {
        let engine = Arc::clone(&self.engine);
        tokio::spawn(async move { engine.serve(request).await })
    }

    /// Sends the same request several times concurrently.
    pub(crate) fn burst(&self, requests: usize) -> JoinSet<Response> {
        let mut served = JoinSet::new();
        for _ in 0..requests {
            let engine = Arc::clone(&self.engine);
            served.spawn(async move { engine.serve(request("/day")).await });
        }
        served
    }

    /// Sends requests until upstream `a` has all its slots and the budget allows a retry.
    pub(crate) async fn warm_up(&self) {
        for _ in 0..10 {
            self.serve(request("/warm")).await;
        }
    }

    pub(crate) fn set_owner(
        &self,
        shard: u32,
        upstream: &str,
        epoch: Epoch,
        incarnation: Incarnation,
    ) {
        let owner = owner(upstream, epoch, incarnation);
        self.table.set(SERVICE, shard, Route::Owned(owner));
    }
}

pub(crate) fn owner(upstream: &str, epoch: Epoch, incarnation: Incarnation) -> Owner {
    Owner {
        upstream: upstream.into(),
        epoch,
        leadership_epoch: epoch,
        incarnation,
        lease: Arc::new(Lease::new(Instant::now() + Duration::from_hours(1))),
    }
}

/// Creates a repeatable interactive request for shard 0.
pub(crate) fn request(path: &str) -> Request {
    let head = Head {
        id: Uuid::new_v4(),
        service: SERVICE.to_owned(),
        key: "cabin-17".to_owned(),
        shard: 0,
        class: Class::Interactive,
        repeat: Repeat::Repeatable,
        deadline: Duration::from_secs(5),
        caller: IpAddr::V4(Ipv4Addr::LOCALHOST),
        fingerprint: Head::fingerprint_of(SERVICE, "cabin-17", "GET", path, b""),
        method: "GET".to_owned(),
        path: path.to_owned(),
        headers: Vec::new(),
        hops: 1,
    };
    Request {
        head,
        body: Body::empty(),
    }
}

/// Creates a request that is not repeatable.
pub(crate) fn once_request(path: &str, id: Uuid) -> Request {
    let mut request = request(path);
    request.head.repeat = Repeat::Once(id);
    request
}

/// Creates a UUIDv7 of the current time on the tests' wall clock.
pub(crate) fn new_id() -> Uuid {
    id_created_at(wall_time())
}

/// Creates a UUIDv7 of a given time.
pub(crate) fn id_created_at(created: SystemTime) -> Uuid {
    let since_epoch = created.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    Uuid::new_v7(Timestamp::from_unix(
        NoContext,
        since_epoch.as_secs(),
        since_epoch.subsec_nanos(),
    ))
}

/// Returns a wall time that advances with the tests' paused clock.
pub(crate) fn wall_time() -> SystemTime {
    thread_local! {
        static START: OnceCell<Instant> = const { OnceCell::new() };
    }
    let start = START.with(|start| *start.get_or_init(Instant::now));
    SystemTime::UNIX_EPOCH + Duration::from_hours(24 * 365 * 50) + start.elapsed()
}

pub(crate) fn stream() -> (Sender, Action) {
    let (sender, body) = Body::channel();
    (sender, Action::Stream(body))
}

pub(crate) fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the verdict and the reason of a response.
pub(crate) fn verdict_and_reason(response: &Response) -> (Verdict, Option<Reason>) {
    (response.reply.verdict, response.reply.reason)
}

pub(crate) async fn body_text(response: Response) -> String {
    let bytes = response.body.collect(1 << 20).await.unwrap();
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn answer(body: Body) -> Response {
    Response {
        reply: Reply {
            status: 200,
            headers: Vec::new(),
            verdict: Verdict::Done,
            reason: None,
            retry_after: None,
        },
        body,
    }
}

fn manifest(limits: Limits) -> Manifest {
    Manifest {
        replaces: 0,
        data_centres: vec![DataCentre {
            name: "cluj".into(),
            region: "ro-nord".into(),
        }],
        services: vec![Service {
            name: SERVICE.into(),
            class: Class::Interactive,
            shards: SHARDS,
            on_isolation: Default::default(),
            lease: ms(1500),
            limits,
            upstreams: vec![upstream("a", 1), upstream("b", 2)],
        }],
    }
}

fn upstream(name: &str, port: u16) -> Upstream {
    Upstream {
        name: name.into(),
        data_centre: "cluj".into(),
        address: (Ipv4Addr::LOCALHOST, port).into(),
        slots: 2,
        connections: 130,
        fencing: Fencing::Checked,
        drain: false,
        part: 0,
    }
}

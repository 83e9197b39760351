//! A fake server side and short ways to build what tests need.

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

/// What the fake does with one request.
#[derive(Debug)]
pub(crate) enum Step {
    Answer(Duration, &'static str),
    Long(usize),
    Fail(Duration, Verdict, Reason),
    Shed(Duration),
    /// Refuses as another run of the server.
    Restarted(u64),
    /// Gives the head, and then what comes over the channel.
    Stream(Body),
}

/// A request as the fake saw it.
#[derive(Debug, Clone)]
pub(crate) struct Seen {
    pub(crate) upstream: String,
    pub(crate) path: String,
    pub(crate) epoch: Epoch,
    pub(crate) class: Class,
    pub(crate) at: Instant,
}

type Script = dyn Fn(&Upstream, &Request) -> Step + Send + Sync;

/// A server side that follows a script and records what reaches it.
pub(crate) struct Fake {
    script: Box<Script>,
    seen: Mutex<Vec<Seen>>,
    running: AtomicU32,
    most: AtomicU32,
}

struct Running<'a>(&'a Fake);

impl Fake {
    pub(crate) fn new(
        script: impl Fn(&Upstream, &Request) -> Step + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Self {
            script: Box::new(script),
            seen: Mutex::default(),
            running: AtomicU32::new(0),
            most: AtomicU32::new(0),
        })
    }

    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    pub(crate) fn count(&self, path: &str) -> usize {
        self.seen().iter().filter(|seen| seen.path == path).count()
    }

    pub(crate) fn running(&self) -> u32 {
        self.running.load(Ordering::SeqCst)
    }

    /// The most requests that ran at a time.
    pub(crate) fn most(&self) -> u32 {
        self.most.load(Ordering::SeqCst)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Forward for Fake {
    async fn forward(&self, upstream: &Upstream, order: Order, request: Request) -> Response {
        self.seen.lock().unwrap().push(Seen {
            upstream: upstream.name.to_string(),
            path: request.head.path.clone(),
            epoch: order.epoch,
            class: request.head.class,
            at: Instant::now(),
        });
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.most.fetch_max(running, Ordering::SeqCst);
        let _running = Running(self);
        match (self.script)(upstream, &request) {
            Step::Answer(after, text) => {
                sleep(after).await;
                answer(Body::full(text))
            }
            Step::Long(bytes) => answer(Body::full(vec![b'x'; bytes])),
            Step::Fail(after, verdict, reason) => {
                sleep(after).await;
                Response::refusal(verdict, reason)
            }
            Step::Shed(after) => {
                Response::refusal(Verdict::NotRun, Reason::Shed).with_retry_after(after)
            }
            Step::Restarted(run) => {
                let mut response = Response::refusal(Verdict::NotRun, Reason::Fenced);
                let header = ("copperwell-incarnation".to_owned(), run.to_string().into());
                response.reply.headers.push(header);
                response
            }
            Step::Stream(body) => answer(body),
        }
    }
}

/// An engine with its table and its fake.
pub(crate) struct Bench {
    pub(crate) engine: Arc<Engine<Fake>>,
    pub(crate) table: Arc<Table>,
    pub(crate) fake: Arc<Fake>,
    pub(crate) observations: mpsc::Receiver<Observation>,
}

impl Bench {
    /// Two upstreams, `a` with all shards and `b` with none, of two slots each.
    pub(crate) fn new(
        script: impl Fn(&Upstream, &Request) -> Step + Send + Sync + 'static,
    ) -> Self {
        Self::with_limits(Limits::default(), script)
    }

    pub(crate) fn with_limits(
        limits: Limits,
        script: impl Fn(&Upstream, &Request) -> Step + Send + Sync + 'static,
    ) -> Self {
        let fake = Fake::new(script);
        let table = Arc::new(Table::new());
        table.add_service(&SERVICE.into(), SHARDS);
        let (engine, observations) =
            Engine::with_wall_clock(Arc::clone(&fake), Arc::clone(&table), wall);
        engine.set_manifest(Arc::new(manifest(limits)));
        let bench = Self {
            engine: Arc::new(engine),
            table,
            fake,
            observations,
        };
        for shard in 0..SHARDS {
            bench.own(shard, "a", 10, 1);
        }
        bench
    }

    pub(crate) async fn serve(&self, request: Request) -> Response {
        self.engine.serve(request).await
    }

    pub(crate) fn spawn(&self, request: Request) -> JoinHandle<Response> {
        let engine = Arc::clone(&self.engine);
        tokio::spawn(async move { engine.serve(request).await })
    }

    /// Sends the same request several times at once.
    pub(crate) fn burst(&self, requests: usize) -> JoinSet<Response> {
        let mut served = JoinSet::new();
        for _ in 0..requests {
            let engine = Arc::clone(&self.engine);
            served.spawn(async move { engine.serve(request("/day")).await });
        }
        served
    }

    /// Sends requests until the server has all its slots and the budget pays for a retry.
    pub(crate) async fn warm(&self) {
        for _ in 0..10 {
            self.serve(request("/warm")).await;
        }
    }

    pub(crate) fn own(&self, shard: u32, upstream: &str, epoch: Epoch, run: Incarnation) {
        let owner = owner(upstream, epoch, run);
        self.table.set(SERVICE, shard, Route::Owned(owner));
    }
}

pub(crate) fn owner(upstream: &str, epoch: Epoch, incarnation: Incarnation) -> Owner {
    Owner {
        upstream: upstream.into(),
        epoch,
        tenure: epoch,
        incarnation,
        lease: Arc::new(Lease::new(Instant::now() + Duration::from_hours(1))),
    }
}

/// A repeatable interactive request for shard 0.
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

/// A request that is not repeatable.
pub(crate) fn once(path: &str, id: Uuid) -> Request {
    let mut request = request(path);
    request.head.repeat = Repeat::Once(id);
    request
}

/// A UUIDv7 made now, by the tests' wall clock.
pub(crate) fn new_id() -> Uuid {
    id_made(wall())
}

/// A UUIDv7 made at a time.
pub(crate) fn id_made(at: SystemTime) -> Uuid {
    let since = at.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    Uuid::new_v7(Timestamp::from_unix(
        NoContext,
        since.as_secs(),
        since.subsec_nanos(),
    ))
}

/// Wall time that goes with the tests' paused clock.
pub(crate) fn wall() -> SystemTime {
    thread_local! {
        static START: OnceCell<Instant> = const { OnceCell::new() };
    }
    let start = START.with(|start| *start.get_or_init(Instant::now));
    SystemTime::UNIX_EPOCH + Duration::from_hours(24 * 365 * 50) + start.elapsed()
}

pub(crate) fn stream() -> (Sender, Step) {
    let (sender, body) = Body::channel();
    (sender, Step::Stream(body))
}

pub(crate) fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Verdict and reason of a response.
pub(crate) fn told(response: &Response) -> (Verdict, Option<Reason>) {
    (response.reply.verdict, response.reply.reason)
}

pub(crate) async fn text(response: Response) -> String {
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

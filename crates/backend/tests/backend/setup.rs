//! A stand-in that owns a shard, and what talks to it.

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use copperwell_backend::{
    Client, Control, Failure, Forward, Pool, client,
    order::{Fence, Give, Held, Order, Renew},
};
use copperwell_keyspace::{Epoch, GroupId, Incarnation, Sequence, manifest::Upstream};
use copperwell_message::{Body, Class, Head, Reason, Repeat, Request, Response, Verdict};
use copperwell_standin::backend::{Echo, Options, Record, Server};
use tokio::time::{Instant, sleep, timeout};
use uuid::Uuid;

pub(crate) const EPOCH: Epoch = 2;
pub(crate) const LEASE: Duration = Duration::from_secs(60);
pub(crate) const DEADLINE: Duration = Duration::from_secs(20);

/// How long a condition is waited for before the test fails.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

/// Long enough for a loaded machine, short enough to be waited for.
pub(crate) const SILENCE: Duration = Duration::from_millis(300);

pub(crate) struct Setup {
    pub(crate) record: Record,
    pub(crate) server: Server,
    pub(crate) client: Client,
    pub(crate) pool: Pool,
    pub(crate) upstream: Upstream,
    seen: Mutex<Option<Seen>>,
}

/// What a fence has told of the server's run and clock.
#[derive(Debug, Clone, Copy)]
struct Seen {
    incarnation: Incarnation,
    clock_ms: u64,
    at: Instant,
}

impl Setup {
    pub(crate) async fn new(options: Options) -> Self {
        let record = Record::new();
        let server = Server::start(options, &record).await.unwrap();
        let setup = Self {
            upstream: server.upstream("ro-nord-1"),
            server,
            client: Client::with_timing(client::Timing {
                connect: Duration::from_secs(1),
                attempt: SILENCE,
                total: 3 * SILENCE,
            }),
            pool: Pool::new(),
            record,
            seen: Mutex::default(),
        };
        setup.own().await;
        setup
    }

    /// Grants shard 0 to the current run of the server.
    pub(crate) async fn own(&self) {
        let order = fence(EPOCH);
        let fenced = self.client.fence(self.server.address(), &order);
        let fenced = fenced.await.unwrap();
        *self.seen.lock().unwrap() = Some(Seen {
            incarnation: fenced.incarnation,
            clock_ms: fenced.clock_ms,
            at: Instant::now(),
        });
        let held = self.give(EPOCH, 1).await.unwrap();
        assert_eq!(held.shards, 1);
    }

    pub(crate) async fn give(&self, epoch: Epoch, sequence: Sequence) -> Result<Held, Failure> {
        let order = self.give_order(epoch, sequence);
        self.client.give(self.server.address(), &order).await
    }

    /// A grant that lasts one lease from now.
    pub(crate) fn give_order(&self, epoch: Epoch, sequence: Sequence) -> Give {
        let (incarnation, until_ms) = self.run_and_end();
        Give {
            group: group(),
            epoch,
            sequence,
            incarnation,
            lease_ms: LEASE.as_millis() as u64,
            until_ms,
            shards: vec![0],
        }
    }

    /// A renewal that lasts one lease from now.
    pub(crate) fn renew_order(&self, epoch: Epoch) -> Renew {
        let (incarnation, until_ms) = self.run_and_end();
        Renew {
            group: group(),
            epoch,
            incarnation,
            lease_ms: LEASE.as_millis() as u64,
            until_ms,
        }
    }

    /// The run last fenced, and one lease from now by its clock at the latest.
    fn run_and_end(&self) -> (Incarnation, u64) {
        let Some(seen) = *self.seen.lock().unwrap() else {
            return (0, 0);
        };
        let now_ms = seen.clock_ms + seen.at.elapsed().as_millis() as u64;
        (seen.incarnation, now_ms + LEASE.as_millis() as u64)
    }

    /// Sends requests to another address, such as a proxy's.
    pub(crate) fn through(mut self, address: SocketAddr) -> Self {
        self.upstream.address = address;
        self
    }

    pub(crate) async fn forward(&self, request: Request) -> Response {
        self.forward_within(DEADLINE, request).await
    }

    pub(crate) async fn forward_within(&self, deadline: Duration, request: Request) -> Response {
        let order = Order {
            epoch: EPOCH,
            deadline,
        };
        self.pool.forward(&self.upstream, order, request).await
    }

    /// Sends a request and reads its answer, which must be there and be its own.
    pub(crate) async fn expect_own_answer(&self, request: Request) -> Echo {
        let id = request.head.id.to_string();
        let echo = echo(self.forward(request).await).await;
        assert_eq!(echo.request, id);
        echo
    }
}

pub(crate) fn group() -> GroupId {
    GroupId {
        service: "calendar".into(),
        data_centre: "ro-nord-1".into(),
        part: 0,
    }
}

pub(crate) fn fence(epoch: Epoch) -> Fence {
    Fence {
        group: group(),
        epoch,
        leader: "entry-1".into(),
    }
}

/// A request that is not repeatable, with these header fields.
pub(crate) fn post(headers: &[(&str, &str)], body: Body) -> Request {
    let headers = headers
        .iter()
        .map(|(name, value)| ((*name).to_owned(), value.as_bytes().to_vec()));
    let head = Head {
        id: Uuid::new_v4(),
        service: "calendar".into(),
        key: "cabin 17 č%".into(),
        shard: 0,
        class: Class::Interactive,
        repeat: Repeat::Once(Uuid::now_v7()),
        deadline: DEADLINE,
        caller: [127, 0, 0, 1].into(),
        fingerprint: 0,
        method: "POST".into(),
        path: "/book?day=3".into(),
        headers: headers.collect(),
        hops: 0,
    };
    Request { head, body }
}

/// A request whose run takes this long.
pub(crate) fn post_for(time: Duration) -> Request {
    let millis = time.as_millis().to_string();
    post(&[("x-standin-ms", &millis)], Body::full("grit"))
}

pub(crate) async fn echo(response: Response) -> Echo {
    assert_eq!(response.reply.verdict, Verdict::Done);
    let bytes = response.body.collect(256 << 20).await.unwrap();
    serde_json::from_slice(&bytes).unwrap()
}

pub(crate) fn expect_failure(response: &Response, verdict: Verdict, reason: Reason) {
    let got = (response.reply.verdict, response.reply.reason);
    assert_eq!(got, (verdict, Some(reason)));
}

/// Waits until a condition holds.
pub(crate) async fn until(condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(PATIENCE, holds)
        .await
        .expect("the condition never came to hold");
}

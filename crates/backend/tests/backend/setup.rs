//! A stand-in server that owns a shard, with a client and a pool connected to it.

use std::{net::SocketAddr, time::Duration};

use copperwell_backend::{
    Client, Control, Forward, Pool, client,
    order::{Fence, Fenced, Give, Order, Renew},
};
use copperwell_keyspace::{Epoch, GroupId, Sequence, ShardIndex, manifest::Upstream};
use copperwell_message::{Body, Class, Head, Reason, Repeat, Request, Response, Verdict};
use copperwell_standin::backend::{Echo, Options, Record, Server};
use tokio::time::{sleep, timeout};
use uuid::Uuid;

pub(crate) const EPOCH: Epoch = 2;
pub(crate) const LEASE: Duration = Duration::from_secs(60);
pub(crate) const DEADLINE: Duration = Duration::from_secs(20);

/// How long to wait for a condition before the test fails.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Long enough for a loaded machine to make progress, short enough for a test to wait it out.
pub(crate) const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

pub(crate) struct Setup {
    pub(crate) record: Record,
    pub(crate) server: Server,
    pub(crate) client: Client,
    pub(crate) pool: Pool,
    pub(crate) upstream: Upstream,
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
                attempt: SHORT_TIMEOUT,
                total: 3 * SHORT_TIMEOUT,
            }),
            pool: Pool::new(),
            record,
        };
        setup.grant_shard().await;
        setup
    }

    /// Grants shard 0 to the current incarnation of the server.
    pub(crate) async fn grant_shard(&self) {
        let fence_answer = self.fence(EPOCH).await;
        let to = self.server.address();
        let held = self
            .client
            .give(to, &fence_answer.give(EPOCH, 1, 0))
            .await
            .unwrap();
        assert_eq!(held.shards, 1);
    }

    pub(crate) async fn fence(&self, epoch: Epoch) -> Fenced {
        let to = self.server.address();
        self.client.fence(to, &fence(epoch)).await.unwrap()
    }

    /// Redirects requests to another address, such as a proxy's.
    pub(crate) fn with_address(mut self, address: SocketAddr) -> Self {
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

    /// Sends a request and reads its answer, which must be complete and belong to this request.
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

/// Builds orders for the incarnation that answered a fence, with expiries by its clock at that time.
pub(crate) trait Orders {
    fn give(&self, epoch: Epoch, sequence: Sequence, shard: ShardIndex) -> Give;
    fn renew(&self, epoch: Epoch) -> Renew;
}

impl Orders for Fenced {
    fn give(&self, epoch: Epoch, sequence: Sequence, shard: ShardIndex) -> Give {
        Give {
            group: group(),
            epoch,
            sequence,
            incarnation: self.incarnation,
            lease_ms: LEASE.as_millis() as u64,
            until_ms: self.clock_ms + LEASE.as_millis() as u64,
            shards: vec![shard],
        }
    }

    fn renew(&self, epoch: Epoch) -> Renew {
        Renew {
            group: group(),
            epoch,
            incarnation: self.incarnation,
            lease_ms: LEASE.as_millis() as u64,
            until_ms: self.clock_ms + LEASE.as_millis() as u64,
        }
    }
}

/// Builds a request that is not repeatable, with these header fields.
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

/// Builds a request that the server takes this long to run.
pub(crate) fn post_for(duration: Duration) -> Request {
    let millis = duration.as_millis().to_string();
    post(&[("x-standin-ms", &millis)], Body::full("grit"))
}

pub(crate) async fn echo(response: Response) -> Echo {
    assert_eq!(response.reply.verdict, Verdict::Done);
    let bytes = response.body.collect(256 << 20).await.unwrap();
    serde_json::from_slice(&bytes).unwrap()
}

pub(crate) fn expect_failure(response: &Response, verdict: Verdict, reason: Reason) {
    let actual = (response.reply.verdict, response.reply.reason);
    assert_eq!(actual, (verdict, Some(reason)));
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    let polling = async {
        while !condition() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(TEST_TIMEOUT, polling)
        .await
        .expect("the condition must become true before the test timeout");
}

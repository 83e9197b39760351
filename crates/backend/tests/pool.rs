//! Requests to a stand-in, and what the verdict is when they fail.

use std::time::Duration;

use copperwell_backend::{
    Client, Control, Forward, Pool,
    order::{Fence, Give, Order},
};
use copperwell_keyspace::GroupId;
use copperwell_message::{Body, Class, Head, Repeat, Request, Response, Verdict};
use copperwell_standin::backend::{Echo, Options, Record, Server};
use uuid::Uuid;

const EPOCH: u64 = 2;

/// A stand-in that holds shard 0 for a long time, and what talks to it.
struct Setup {
    record: Record,
    server: Server,
    client: Client,
    pool: Pool,
}

fn group() -> GroupId {
    GroupId {
        service: "calendar".into(),
        data_centre: "ro-nord-1".into(),
        part: 0,
    }
}

async fn setup(options: Options) -> Setup {
    let record = Record::new();
    let setup = Setup {
        server: Server::start(options, &record).await.unwrap(),
        client: Client::new(),
        pool: Pool::new(),
        record,
    };
    setup.own().await;
    setup
}

impl Setup {
    async fn own(&self) {
        let fence = Fence {
            group: group(),
            epoch: EPOCH,
            leader: "entry-1".into(),
        };
        let to = self.server.address();
        let fenced = self.client.fence(to, &fence).await.unwrap();
        let give = Give {
            group: group(),
            epoch: EPOCH,
            sequence: 1,
            incarnation: fenced.incarnation,
            lease_ms: 60_000,
            until_ms: fenced.clock_ms + 60_000,
            shards: vec![0],
        };
        let held = self.client.give(to, &give).await.unwrap();
        assert_eq!(held.shards, 1);
    }

    async fn forward(&self, request: Request) -> Response {
        let order = Order {
            epoch: EPOCH,
            deadline: Duration::from_secs(5),
        };
        let upstream = self.server.upstream("ro-nord-1");
        self.pool.forward(&upstream, order, request).await
    }
}

fn post(body: Body) -> Request {
    let head = Head {
        id: Uuid::new_v4(),
        service: "calendar".into(),
        key: "cabin 17".into(),
        shard: 0,
        class: Class::Interactive,
        repeat: Repeat::Once(Uuid::now_v7()),
        deadline: Duration::from_secs(5),
        caller: [127, 0, 0, 1].into(),
        fingerprint: 0,
        method: "POST".into(),
        path: "/book?day=3".into(),
        headers: Vec::new(),
        hops: 0,
    };
    Request { head, body }
}

async fn echo(response: Response) -> Echo {
    let bytes = response.body.collect(1 << 20).await.unwrap();
    serde_json::from_slice(&bytes).unwrap()
}

#[tokio::test]
async fn request_gets_the_answer_to_itself() {
    let setup = setup(Options::new("upstream-1")).await;
    let request = post(Body::full("grit"));
    let id = request.head.id.to_string();
    let response = setup.forward(request).await;
    assert_eq!(response.reply.verdict, Verdict::Done);
    let echo = echo(response).await;
    assert_eq!((echo.request, echo.count), (id, 1));
    assert_eq!(echo.key, "cabin 17");
    assert_eq!(echo.path, "/book?day=3");
    assert_eq!(setup.record.runs().len(), 1);
}

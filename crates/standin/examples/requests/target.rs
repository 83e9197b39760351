//! Ways to the owners of keys.

use std::{io, net::Ipv4Addr, sync::Arc, time::Duration};

use crate::{
    load::Load,
    setup::{SERVICE, SHARDS, Size},
};
use bytes::Bytes;
use copperwell_backend::order::header;
use copperwell_keyspace::{Epoch, HashMap, shard};
use copperwell_message::Reason;
use copperwell_rig::{cluster::Cluster, node::Node};
use futures::future::join_all;
use http::{Request, StatusCode, request::Builder};
use http_body_util::{BodyExt, Empty};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::sync::Semaphore;

/// Why there is no owner's answer.
pub(crate) type Failure = &'static str;

/// The connection was lost, or the answer is not whole.
const NO_ANSWER: Failure = "no-answer";

/// The owner is unknown.
const NO_OWNER: Failure = "no-owner";

/// The client of all callers.
pub(crate) type Client = legacy::Client<HttpConnector, Empty<Bytes>>;

/// A way to the owners of keys.
#[derive(Debug, Clone)]
pub(crate) enum Way {
    /// Through the daemon that listens here.
    Daemon(String),
    /// Straight to the owners.
    Plain(Arc<Plain>),
}

/// Queues before servers.
#[derive(Debug)]
pub(crate) struct Plain {
    owners: HashMap<u32, Arc<Owner>>,
    epoch: Epoch,
}

/// A server and the queue before its slots.
#[derive(Debug)]
pub(crate) struct Owner {
    address: String,
    slots: Semaphore,
}

impl Way {
    pub(crate) fn daemon(node: &Node) -> Self {
        Self::Daemon(node.addresses.callers.to_string())
    }

    /// Straight to whoever owns the shards now.
    pub(crate) fn plain(cluster: &Cluster, size: Size) -> io::Result<Self> {
        let mut owners = HashMap::default();
        for server in cluster.servers.values() {
            let owner = Arc::new(Owner {
                address: server.address().to_string(),
                slots: Semaphore::new(size.slots as usize),
            });
            let held = server.shards().into_iter();
            owners.extend(held.map(|shard| (shard.index, owner.clone())));
        }
        let runs = cluster.record.runs();
        let run = runs.last();
        let run = run.ok_or_else(|| io::Error::other("nothing ran while the cluster started"))?;
        let epoch = run.epoch;
        Ok(Self::Plain(Arc::new(Plain { owners, epoch })))
    }

    /// Asks the owners of all keys for a whole answer.
    pub(crate) async fn send(
        &self,
        client: &Client,
        keys: &[String],
        load: Load,
    ) -> Result<(), Failure> {
        match self {
            Self::Daemon(entry) => {
                let uri = format!("http://{entry}/{SERVICE}/{}/load", keys.join(","));
                let millis = u64::try_from(load.deadline.as_millis()).unwrap_or(u64::MAX);
                let request = Request::get(uri).header(header::DEADLINE, millis);
                ask(client, request, load).await
            }
            Self::Plain(plain) => {
                let parts = keys.iter().map(|key| plain.send(client, key, load));
                join_all(parts).await.into_iter().collect()
            }
        }
    }
}

impl Plain {
    async fn send(&self, client: &Client, key: &str, load: Load) -> Result<(), Failure> {
        let shard = shard::index_of(key, SHARDS);
        let owner = self.owners.get(&shard).ok_or(NO_OWNER)?;
        let _slot = owner.slots.acquire().await.map_err(|_| NO_OWNER)?;
        let request = Request::get(format!("http://{}/load", owner.address))
            .header(header::SERVICE, SERVICE)
            .header(header::KEY, key)
            .header(header::SHARD, shard)
            .header(header::EPOCH, self.epoch)
            .header(header::REQUEST, "plain");
        ask(client, request, load).await
    }
}

/// Sends one request and reads the answer.
async fn ask(client: &Client, request: Builder, load: Load) -> Result<(), Failure> {
    let request = request.header("x-standin-ms", load.service_ms);
    let request = request.body(Empty::new()).map_err(|_| NO_ANSWER)?;
    let response = client.request(request).await.map_err(|_| NO_ANSWER)?;
    let (parts, body) = response.into_parts();
    let whole = body.collect().await;
    let text = |name| {
        parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    // A server that was asked directly names no verdict.
    let is_done = text(header::VERDICT).is_none_or(|verdict| verdict == "done");
    if parts.status == StatusCode::OK && is_done && whole.is_ok() {
        return Ok(());
    }
    let reason = text(header::REASON).and_then(Reason::parse);
    Err(reason.map_or(NO_ANSWER, Reason::as_str))
}

pub(crate) fn client(from: Ipv4Addr) -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_local_address(Some(from.into()));
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_secs(30))
        .build(connector)
}

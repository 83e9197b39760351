//! The targets that requests are sent to: a daemon, or the owners of the keys.

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

/// The reason why a request has no answer from an owner.
pub(crate) type Failure = &'static str;

/// The connection was lost, or the answer is incomplete or gives no reason.
const NO_ANSWER: Failure = "no-answer";

/// No owner of the shard is known.
const NO_OWNER: Failure = "no-owner";

/// The HTTP client of a load.
pub(crate) type Client = legacy::Client<HttpConnector, Empty<Bytes>>;

/// A target of requests.
#[derive(Debug, Clone)]
pub(crate) enum Target {
    /// The daemon that listens for callers at this address.
    Daemon(String),
    /// The owners of the keys, without a daemon.
    Plain(Arc<Plain>),
}

/// The owners of all shards, each with a FIFO queue.
#[derive(Debug)]
pub(crate) struct Plain {
    owners: HashMap<u32, Arc<Owner>>,
    epoch: Epoch,
}

/// A server and the queue for its slots.
#[derive(Debug)]
pub(crate) struct Owner {
    address: String,
    slots: Semaphore,
}

impl Target {
    pub(crate) fn daemon(node: &Node) -> Self {
        Self::Daemon(node.addresses.callers.to_string())
    }

    /// Creates a target of the servers that own the shards now.
    ///
    /// # Errors
    ///
    /// Returns an error if no request has run yet, since the epoch is that of the last one.
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
        let run =
            run.ok_or_else(|| io::Error::other("no request ran while the cluster started"))?;
        let epoch = run.epoch;
        Ok(Self::Plain(Arc::new(Plain { owners, epoch })))
    }

    /// Sends a request for keys, and waits until all their owners have answered completely.
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
                send_request(client, request, load).await
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
        send_request(client, request, load).await
    }
}

/// Sends one request and reads the answer to its end.
async fn send_request(client: &Client, request: Builder, load: Load) -> Result<(), Failure> {
    let request = request.header("x-standin-ms", load.service_ms);
    let request = request.body(Empty::new()).map_err(|_| NO_ANSWER)?;
    let response = client.request(request).await.map_err(|_| NO_ANSWER)?;
    let (parts, body) = response.into_parts();
    let body_read = body.collect().await;
    let field = |name| {
        parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    // An answer that comes directly from a server has no verdict.
    let is_done = field(header::VERDICT).is_none_or(|verdict| verdict == "done");
    if parts.status == StatusCode::OK && is_done && body_read.is_ok() {
        return Ok(());
    }
    let reason = field(header::REASON).and_then(Reason::parse);
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

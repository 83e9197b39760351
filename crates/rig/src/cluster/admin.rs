//! The status and metrics of daemons, from their admin endpoints.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::node::Node;
use bytes::Bytes;
use copperwell_operator::status::{STATUS_PATH, Status};
use http_body_util::{BodyExt, Empty};
use hyper_util::{client::legacy, rt::TokioExecutor};
use tokio::time::timeout;

/// Timeout of a request to a daemon's admin endpoint.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Fetches a daemon's status page; `None` if the daemon does not answer.
pub async fn status(admin: SocketAddr) -> Option<Status> {
    serde_json::from_slice(&get(admin, STATUS_PATH).await?).ok()
}

/// Returns the metrics of the daemons by name, summed over daemons and labels.
pub async fn metrics(nodes: &[Node]) -> BTreeMap<String, f64> {
    let mut sums = BTreeMap::new();
    for node in nodes {
        let Some(text) = get(node.addresses.admin, "/metrics").await else {
            continue;
        };
        let text = String::from_utf8_lossy(&text);
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let name = name.split('{').next().unwrap_or(name);
            *sums.entry(name.to_owned()).or_default() += value.parse().unwrap_or(0.0);
        }
    }
    sums
}

async fn get(admin: SocketAddr, path: &str) -> Option<Bytes> {
    let client = legacy::Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{admin}{path}").parse().ok()?;
    let response = timeout(ADMIN_TIMEOUT, client.get(uri)).await;
    let body = response.ok()?.ok()?.into_body().collect().await.ok()?;
    Some(body.to_bytes())
}

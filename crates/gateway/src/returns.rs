//! Health checks to upstreams that have returned from an evacuation.

use std::{sync::Arc, time::Duration};

use crate::{
    dialect::{Dialect, Outbound},
    gateway::Gateway,
};
use copperwell_backend::exchange::Exchange;
use copperwell_routing::registry::Upstream;
use http::{HeaderMap, HeaderValue, Method, uri::PathAndQuery};
use tokio::time::{Instant, sleep};

/// The interval at which due health checks are sent after an evacuation.
const INTERVAL: Duration = Duration::from_millis(25);

/// The number of these intervals between two updates of the list that is sent to other daemons.
const LIST_INTERVALS: u32 = 4;

/// The timeout for the connection and the answer of a health check together.
const TIMEOUT: Duration = Duration::from_secs(1);

impl<D: Dialect> Gateway<D> {
    /// Sends health checks to upstreams that have returned from an evacuation and may be warm. Never returns.
    pub async fn check_returned(self: Arc<Self>) {
        loop {
            self.view().wait_returned().await;
            for interval in 1_u32.. {
                self.view().request_leader_checks();
                for (upstream, path) in self.view().take_return_checks() {
                    let gateway = self.clone();
                    tokio::spawn(async move { gateway.check(&upstream, path).await });
                }
                let has_returned = self.view().has_returned();
                if !has_returned || interval.is_multiple_of(LIST_INTERVALS) {
                    self.view().list_returned();
                }
                if !has_returned {
                    break;
                }
                sleep(INTERVAL).await;
            }
        }
    }

    /// Sends a health check to an upstream, and records what came of it.
    async fn check(&self, upstream: &Upstream, path: PathAndQuery) {
        let lane = self.pools().pool_for(self.view(), upstream);
        let outbound = Outbound {
            method: Method::GET,
            target: path.clone().into(),
            headers: HeaderMap::new(),
            id: HeaderValue::from_static(""),
            upstream: upstream.id.clone(),
        };
        let exchange = Exchange::new(lane, TIMEOUT, Instant::now() + TIMEOUT);
        let result = exchange.check(self.dialect(), &outbound, path).await;
        self.view().record_return_check(upstream, result);
    }
}

//! HTTP ingress for callers.
//!
//! A caller asks `/SERVICE/KEY/REST`; ingress finds the shard of the key and sends the request to
//! the daemon that leads the shard's group. `/SERVICE/KEY,KEY,KEY/REST` asks the owners of several
//! keys, and their answers come back joined.

pub use ingress::Ingress;

use std::sync::Arc;

use copperwell_keyspace::{Member, ShardIndex, manifest::Service};
use copperwell_message::{Reason, Request, Response, Verdict};

pub mod body;
pub mod explain;
pub mod header;
pub mod ingress;
pub mod metrics;
pub mod server;

mod admission;
mod multi_key;
mod parse;
mod pipeline;
mod route;
mod scheduler;
mod write_timeout;

/// What ingress knows of services and leaders, and the way to them.
pub trait Network: Send + Sync + 'static {
    /// The service of this name in the manifest in force.
    fn service(&self, name: &str) -> Option<Arc<Service>>;

    /// The daemons that may lead the shard's group, the likeliest first.
    fn leaders(&self, service: &str, shard: ShardIndex) -> Vec<Member>;

    /// Sends a request to a daemon, which may be this one.
    fn send(&self, to: &Member, request: Request) -> impl Future<Output = Response> + Send;

    /// How many daemons take callers' requests, this one included, as far as it knows.
    fn ingresses(&self) -> usize {
        1
    }

    /// Daemons that may reach `to` where this one cannot, the likeliest first.
    fn relays(&self, to: &Member) -> Vec<Member> {
        let _ = to;
        Vec::new()
    }

    /// Sends a request to a daemon through another one.
    fn send_via(
        &self,
        relay: &Member,
        to: &Member,
        request: Request,
    ) -> impl Future<Output = Response> + Send {
        let _ = (relay, to, request);
        async { Response::refusal(Verdict::NotRun, Reason::NoLeader) }
    }
}

//! HTTP ingress for callers.
//!
//! For a request to `/SERVICE/KEY/REST`, ingress computes the shard of the key and sends the
//! request to the daemon that leads the shard's group. A multi-key request to
//! `/SERVICE/KEY,KEY,KEY/REST` is sent to the owner of each key, and the responses are joined into
//! one.

pub use ingress::Ingress;

use std::sync::Arc;

use copperwell_keyspace::{Member, ShardIndex, manifest::Service};
use copperwell_message::{Reason, Request, Response, Verdict};

pub mod body;
pub mod header;
pub mod ingress;
pub mod metrics;
pub mod refusal;
pub mod server;

mod admission;
mod multi_key;
mod parse;
mod pipeline;
mod route;
mod scheduler;
mod write_timeout;

/// Gives ingress access to services, their leaders and the other daemons.
pub trait Network: Send + Sync + 'static {
    /// Returns the service of this name in the manifest in force.
    fn service(&self, name: &str) -> Option<Arc<Service>>;

    /// Returns the daemons that may lead the shard's group, the most likely first.
    fn leaders(&self, service: &str, shard: ShardIndex) -> Vec<Member>;

    /// Sends a request to a daemon, which may be the local one.
    fn send(&self, to: &Member, request: Request) -> impl Future<Output = Response> + Send;

    /// Returns the number of daemons that accept callers' requests, the local one included, as far
    /// as is known.
    fn ingress_count(&self) -> usize {
        1
    }

    /// Returns daemons that may reach `to` if the local one cannot, the most likely first.
    fn relays(&self, to: &Member) -> Vec<Member> {
        let _ = to;
        Vec::new()
    }

    /// Sends a request to a daemon through a relay.
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

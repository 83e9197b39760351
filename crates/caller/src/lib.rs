//! HTTP ingress for callers.
//!
//! A caller asks `/SERVICE/KEY/REST`; ingress finds the shard of the key and sends the request to
//! the daemon that leads the shard's group.

pub use ingress::Ingress;

use std::sync::Arc;

use copperwell_keyspace::{Member, ShardIndex, manifest::Service};
use copperwell_message::{Request, Response};

pub mod header;
pub mod ingress;
pub mod metrics;
pub mod server;

mod parse;

/// What ingress knows of services and leaders, and the way to them.
pub trait Network: Send + Sync + 'static {
    /// The service of this name in the manifest in force.
    fn service(&self, name: &str) -> Option<Arc<Service>>;

    /// The daemons that may lead the shard's group, the likeliest first.
    fn leaders(&self, service: &str, shard: ShardIndex) -> Vec<Member>;

    /// Sends a request to a daemon, which may be this one.
    fn send(&self, to: &Member, request: Request) -> impl Future<Output = Response> + Send;
}

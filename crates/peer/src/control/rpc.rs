//! The tarpc service definition of the control calls.

use std::{net::SocketAddr, time::Duration};

use super::{HandOver, Pong, Probe, Relinquish, Snapshot};
use copperwell_keyspace::{LogOffset, batch::Batch};
use copperwell_policy::quarantine::Conviction;

/// The control calls, which [`Handler`](super::Handler) documents.
#[tarpc::service]
pub(crate) trait Control {
    async fn probe(probe: Probe) -> Pong;
    async fn probe_through(target: SocketAddr) -> Option<Pong>;
    async fn records(from: LogOffset, wait: Duration) -> Option<Batch>;
    async fn snapshot() -> Option<Snapshot>;
    async fn hand_over(hand_over: HandOver) -> bool;
    async fn relinquish(relinquish: Relinquish) -> bool;
    async fn quarantine(shares: Vec<Conviction>);
}

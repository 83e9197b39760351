//! Summary of a group's state for status reports.

use super::Group;
use copperwell_keyspace::{Incarnation, UpstreamName};

/// A summary of a group's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Whether the takeover from earlier leaders is complete.
    pub has_taken_over: bool,
    /// Whether evidence could end a wait: that an earlier leader has stopped, or that there is no
    /// later one.
    pub needs_evidence: bool,
    /// Number of shards that no server has reported.
    pub unknown: usize,
    /// Number of shards that no server holds.
    pub free: usize,
    /// Number of shards whose requests in flight are awaited.
    pub draining: usize,
    /// The servers, in the order of their names.
    pub servers: Vec<ServerSummary>,
}

/// A summary of a server's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSummary {
    /// The name of the server's upstream.
    pub name: UpstreamName,
    /// The incarnation of the server's run, if it has answered.
    pub incarnation: Option<Incarnation>,
    /// Whether the leader may grant shards to the server.
    pub is_established: bool,
    /// Whether the server is unreachable.
    pub is_unreachable: bool,
    /// Whether the server is draining or removed.
    pub is_draining: bool,
    /// Number of shards that the server holds.
    pub shards: usize,
}

impl Group {
    /// Returns a summary of the state.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let servers = self.servers.iter().map(|(name, server)| ServerSummary {
            name: name.clone(),
            incarnation: server.run.as_ref().map(|run| run.incarnation),
            is_established: server.established().is_some(),
            is_unreachable: server.is_unreachable(),
            is_draining: server.is_draining(),
            shards: server.owned.len(),
        });
        Summary {
            has_taken_over: self.has_taken_over,
            needs_evidence: self.needs_evidence(),
            unknown: self.unknown.len(),
            free: self.free.len(),
            draining: self.draining.len(),
            servers: servers.collect(),
        }
    }
}

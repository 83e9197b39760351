//! A group's state in figures.

use super::Group;
use copperwell_keyspace::{Incarnation, UpstreamName};

/// A group's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Whether no earlier leader can act any more.
    pub settled: bool,
    /// Whether evidence could end a wait: that an earlier leader has stopped, or that there is no
    /// later one.
    pub waits: bool,
    /// Shards that nobody has reported.
    pub unknown: usize,
    /// Shards that nobody holds.
    pub free: usize,
    /// Shards on their way.
    pub moving: usize,
    /// The servers.
    pub servers: Vec<ServerSummary>,
}

/// A server's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSummary {
    /// Its upstream.
    pub name: UpstreamName,
    /// Its run.
    pub incarnation: Option<Incarnation>,
    /// Whether the leader may grant to it.
    pub established: bool,
    /// Whether it does not answer.
    pub lost: bool,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// How many shards it holds.
    pub shards: usize,
}

impl Group {
    /// The state in figures.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let servers = self.servers.iter().map(|(name, server)| ServerSummary {
            name: name.clone(),
            incarnation: server.run.as_ref().map(|run| run.incarnation),
            established: server.established().is_some(),
            lost: server.is_lost(),
            leaving: server.is_leaving(),
            shards: server.owned.len(),
        });
        Summary {
            settled: self.settled,
            waits: self.waits(),
            unknown: self.unknown.len(),
            free: self.free.len(),
            moving: self.leaving.len(),
            servers: servers.collect(),
        }
    }
}

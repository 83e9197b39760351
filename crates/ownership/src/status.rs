//! What the status page shows of the groups that a daemon leads.

use copperwell_keyspace::{Epoch, GroupId, Incarnation, UpstreamName};
use copperwell_policy::group::Group;
use serde::Serialize;

/// One group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The group.
    pub group: GroupId,
    /// The epoch under which this daemon leads it.
    pub epoch: Epoch,
    /// Whether no earlier leader can act any more.
    pub settled: bool,
    /// Whether evidence could end a wait: that an earlier leader has stopped, or that there is no
    /// later one.
    pub waits: bool,
    /// Shards that nobody has reported and that wait until nobody can hold them.
    pub unreported: usize,
    /// Shards that nobody holds and that can be given.
    pub free: usize,
    /// Shards on their way.
    pub moving: usize,
    /// The upstreams.
    pub upstreams: Vec<UpstreamStatus>,
}

/// One upstream of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UpstreamStatus {
    /// The upstream.
    pub name: UpstreamName,
    /// The run of its server, if it has answered.
    pub incarnation: Option<Incarnation>,
    /// Whether it may be granted to.
    pub established: bool,
    /// Whether it does not answer.
    pub lost: bool,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Shards that it holds.
    pub shards: usize,
}

impl Status {
    pub(crate) fn of(group: &Group) -> Self {
        let summary = group.summary();
        let upstreams = summary.servers.into_iter().map(|server| UpstreamStatus {
            name: server.name,
            incarnation: server.incarnation,
            established: server.established,
            lost: server.lost,
            leaving: server.leaving,
            shards: server.shards,
        });
        Self {
            group: group.id().clone(),
            epoch: group.epoch(),
            settled: summary.settled,
            waits: summary.waits,
            unreported: summary.unknown,
            free: summary.free,
            moving: summary.moving,
            upstreams: upstreams.collect(),
        }
    }
}

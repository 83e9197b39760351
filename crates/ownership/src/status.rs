//! Status of the groups that a daemon leads, for its status page.

use copperwell_keyspace::{Epoch, GroupId, Incarnation, UpstreamName};
use copperwell_policy::group::Group;
use serde::Serialize;

/// The status of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The group.
    pub group: GroupId,
    /// The epoch under which this daemon leads it.
    pub epoch: Epoch,
    /// Whether no earlier leader can act any longer.
    pub settled: bool,
    /// Whether evidence could end a wait: that an earlier leader has stopped, or that no later one
    /// exists.
    pub waits: bool,
    /// Shards that no server has reported, which wait until every lease on them must have expired.
    pub unreported: usize,
    /// Shards that no server holds and that can be granted.
    pub free: usize,
    /// Shards that are moving from one upstream to another.
    pub moving: usize,
    /// The upstreams.
    pub upstreams: Vec<UpstreamStatus>,
}

/// The status of one upstream of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UpstreamStatus {
    /// The upstream.
    pub name: UpstreamName,
    /// The run of its server, if it has answered.
    pub incarnation: Option<Incarnation>,
    /// Whether it can get grants.
    pub established: bool,
    /// Whether its server is unreachable.
    pub lost: bool,
    /// Whether it gets no new shards: it drains or was removed from the manifest.
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
            established: server.is_established,
            lost: server.is_unreachable,
            leaving: server.is_draining,
            shards: server.shards,
        });
        Self {
            group: group.id().clone(),
            epoch: group.epoch(),
            settled: summary.has_taken_over,
            waits: summary.needs_evidence,
            unreported: summary.unknown,
            free: summary.free,
            moving: summary.draining,
            upstreams: upstreams.collect(),
        }
    }
}

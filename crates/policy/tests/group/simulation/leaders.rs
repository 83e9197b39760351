//! Simulated leaders: what they read of the log, their inputs and their actions.

use std::{net::SocketAddr, time::Duration};

use super::{Event, Membership, RouteChange, Simulation};
use crate::harness::{self, group_id, name, shard_digest};
use copperwell_keyspace::UpstreamName;
use copperwell_policy::group::{
    Group,
    message::{Action, Config, Input, Load, Predecessor, Start, Voters},
};
use rand::RngExt;

impl Simulation {
    /// Returns the configuration that the log has now.
    pub(super) fn config(&self) -> Config {
        let mut config = harness::config(self.servers.len(), self.shards.len() as u32);
        for (upstream, node) in config.upstreams.iter_mut().zip(&self.servers) {
            upstream.drain = node.is_draining;
            upstream.fencing = self.fencing;
        }
        let last = config.upstreams.split_off(self.servers.len() - 1);
        match self.membership {
            Membership::Present => config.upstreams.extend(last),
            Membership::Former => config.former.extend(last),
            Membership::Absent => {}
        }
        config
    }

    /// Returns the voters of an appointment that is made now.
    pub(super) fn voters(&self) -> Vec<SocketAddr> {
        let mut config = self.config();
        config.upstreams.append(&mut config.former);
        harness::voters(&config)
    }

    /// Has each leader read the log, some of them late.
    pub(super) fn publish(&mut self) {
        for leader in 0..self.leaders.len() {
            let delay_ms = if self.has_faults() && self.rng.random_bool(0.3) {
                self.rng.random_range(0..6000)
            } else {
                0
            };
            let at = self.now + Duration::from_millis(delay_ms);
            self.push(
                at.min(self.faults_end.max(self.now)),
                Event::ReadLog(leader),
            );
        }
    }

    /// Drops a retired server from the log, unless a later appointment voids the leader's record.
    pub(super) fn retire(&mut self, leader: usize, upstreams: &[UpstreamName]) {
        let is_last = upstreams.contains(&name(self.servers.len() - 1));
        let later = self.leaders[leader + 1..].iter();
        let is_latest = later.clone().all(|later| later.voters.is_empty());
        if is_last && is_latest && self.membership == Membership::Former {
            self.membership = Membership::Absent;
            self.publish();
        }
    }

    pub(super) fn start(&mut self, leader: usize) {
        if self.leaders[leader].is_dead {
            return;
        }
        let start = Start {
            id: group_id(0),
            epoch: self.leaders[leader].epoch,
            config: self.config(),
            predecessor: if leader == 0 {
                Predecessor::None
            } else {
                Predecessor::Active
            },
            voters: Voters {
                own: self.voters(),
                former: self.former_voters(leader),
            },
            is_recorded: true,
            shard_digest,
        };
        self.leaders[leader].voters = self.voters();
        let now = self.base + self.now;
        self.leaders[leader].group = Some(Group::new(start, now));
        self.handle(leader, Input::Tick);
    }

    /// Returns the voters of the appointment before.
    pub(super) fn former_voters(&self, leader: usize) -> Vec<SocketAddr> {
        let before = self.leaders[..leader].iter().rev();
        let mut before = before.map(|before| before.voters.clone());
        before.find(|voters| !voters.is_empty()).unwrap_or_default()
    }

    /// Reports to each leader whose predecessors are all gone that they have stopped.
    pub(super) fn send_evidence(&mut self) {
        for leader in 1..self.leaders.len() {
            let mut earlier = self.leaders[..leader].iter();
            if earlier.all(|earlier| earlier.is_dead) {
                self.handle(leader, Input::PredecessorStopped);
            }
        }
        if self.has_membership_changes && !self.has_faults() {
            // No leader follows the last one, which the log and its standby confirm.
            let confirmed = Input::Confirmed(self.base + self.now);
            self.handle(self.leaders.len() - 1, confirmed);
            self.push(self.now + Duration::from_millis(500), Event::Evidence);
        }
    }

    /// Reports load on a hot shard, which is another one every eight seconds.
    pub(super) fn send_load(&mut self, leader: usize) {
        let hot = self.now.as_secs() / 8 % self.shards.len() as u64;
        let load = Load {
            shard: self.shards[hot as usize],
            requests: 200,
        };
        self.handle(leader, Input::Load(vec![load]));
        self.push(self.now + Duration::from_secs(1), Event::Load(leader));
    }

    /// Passes an input to a leader, or delays it until a frozen leader resumes.
    pub(super) fn handle(&mut self, leader: usize, input: Input) {
        let frozen = self.leaders[leader].frozen_until;
        if frozen > self.now {
            let event = match input {
                Input::Answered {
                    upstream,
                    ticket,
                    result,
                } => Event::Answer {
                    leader,
                    server: upstream[1..].parse().unwrap(),
                    ticket,
                    result,
                },
                Input::Idle { shard, ticket } => Event::Idle {
                    leader,
                    shard,
                    ticket,
                },
                Input::Config(_) => Event::ReadLog(leader),
                _ => {
                    self.leaders[leader].wakes_at = Some(frozen);
                    Event::Wake(leader)
                }
            };
            self.push(frozen, event);
            return;
        }
        let now = self.base + self.now;
        let Some(group) = &mut self.leaders[leader].group else {
            return;
        };
        let actions = group.handle(input, now);
        let wake = group.wake_at(now).map(|at| at - self.base);
        let planned = self.leaders[leader].wakes_at;
        if let Some(wake) = wake
            && planned.is_none_or(|planned| wake < planned)
        {
            self.leaders[leader].wakes_at = Some(wake);
            self.push(wake, Event::Wake(leader));
        }
        for action in actions {
            self.perform(leader, action);
        }
    }

    pub(super) fn perform(&mut self, leader: usize, action: Action) {
        match action {
            Action::Order {
                upstream,
                ticket,
                order,
                timeout,
            } => {
                let server: usize = upstream.name[1..].parse().unwrap();
                self.send(leader, server, ticket, order, timeout);
            }
            Action::AwaitIdle { shard, ticket } => {
                let at = self.now + self.delay();
                self.push(
                    at,
                    Event::Idle {
                        leader,
                        shard,
                        ticket,
                    },
                );
            }
            Action::Route { shard, route } => {
                let change = RouteChange {
                    route,
                    at: self.now,
                };
                self.leaders[leader].routes.insert(shard, change);
            }
            Action::Retire(upstreams) => self.retire(leader, &upstreams),
            Action::Lease {
                upstream, until, ..
            } => {
                self.leaders[leader]
                    .leases
                    .insert(upstream, until - self.base);
            }
            _ => {}
        }
    }
}

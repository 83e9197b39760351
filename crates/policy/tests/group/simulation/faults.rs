//! Random faults of servers, leaders and the paths between them.

use std::time::Duration;

use super::{Event, Membership, Simulation};
use copperwell_keyspace::manifest::Fencing;
use rand::{RngExt, seq::IndexedRandom};

impl Simulation {
    pub(super) fn has_faults(&self) -> bool {
        self.now < self.faults_end
    }

    /// Injects a random fault, which ends by the end of the fault period; after that, clears what
    /// would prevent recovery.
    pub(super) fn inject_fault(&mut self) {
        if !self.has_faults() {
            if self.has_membership_changes {
                // The only remaining server must not drain.
                for node in &mut self.servers {
                    node.is_draining = false;
                }
                self.publish();
            }
            if self.fencing == Fencing::Unchecked || self.has_membership_changes {
                self.end_earlier_leaders();
            }
            return;
        }
        let duration = Duration::from_millis(self.rng.random_range(10..6000));
        let until = (self.now + duration).min(self.faults_end);
        let server = self.rng.random_range(0..self.servers.len());
        let leader = self.rng.random_range(0..self.leaders.len());
        match self.rng.random_range(0..10) {
            // Unchecked servers do not restart: a late order for one run may reach the next, a
            // fault that the state machine does not cover.
            0 if self.fencing == Fencing::Checked => {
                let node = &mut self.servers[server];
                node.server.restart(self.now);
                node.frozen_until = self.now;
                node.down_until = *[self.now, until].choose(&mut self.rng).unwrap();
            }
            1 => self.servers[server].frozen_until = until,
            2 => self.leaders[leader].frozen_until = until,
            3 | 4 => self.leaders[leader].partitioned_until[server] = until,
            5 => self.toggle_drain(server),
            7 if self.has_membership_changes => self.toggle_last_server(),
            6 if leader + 1 < self.leaders.len() && self.rng.random_bool(0.3) => {
                self.leaders[leader].is_dead = true;
                self.leaders[leader].group = None;
                let later = self.now + Duration::from_millis(self.rng.random_range(0..3000));
                self.push(later, Event::Evidence);
            }
            _ => {
                for server in 0..self.servers.len() {
                    if self.rng.random_bool(0.5) {
                        self.leaders[leader].partitioned_until[server] = until;
                    }
                }
            }
        }
        let next = self.now + Duration::from_millis(self.rng.random_range(50..3000));
        self.push(next.min(self.faults_end), Event::Fault);
    }

    /// Starts or ends the draining of a server; at most one drains at a time.
    pub(super) fn toggle_drain(&mut self, server: usize) {
        let is_draining = !self.servers[server].is_draining;
        for node in &mut self.servers {
            node.is_draining = false;
        }
        self.servers[server].is_draining = is_draining && self.servers.len() > 1;
        self.publish();
    }

    /// Adds or removes the last server.
    pub(super) fn toggle_last_server(&mut self) {
        self.membership = match self.membership {
            Membership::Present if self.servers.len() > 1 => Membership::Former,
            _ => Membership::Present,
        };
        self.publish();
    }

    /// Ends all leaders but the last and reports that to it. Otherwise it may lack a majority when
    /// a server was removed, and cannot establish servers that do not check epochs.
    pub(super) fn end_earlier_leaders(&mut self) {
        let last = self.leaders.len() - 1;
        for leader in &mut self.leaders[..last] {
            leader.is_dead = true;
            leader.group = None;
        }
        self.send_evidence();
    }
}

//! The simulated network between leaders and servers.

use std::time::Duration;

use super::{Event, Simulation};
use crate::harness::shard_digest;
use copperwell_policy::group::message::{Failure, Order, Ticket};
use rand::RngExt;

impl Simulation {
    pub(super) fn send(
        &mut self,
        leader: usize,
        server: usize,
        ticket: Ticket,
        order: Order,
        timeout: Duration,
    ) {
        let answer = |result| Event::Answer {
            leader,
            server,
            ticket,
            result,
        };
        self.push(self.now + timeout, answer(Err(Failure::Timeout)));
        let is_partitioned = self.leaders[leader].partitioned_until[server] > self.now;
        let is_down = self.servers[server].down_until > self.now;
        let is_lost = self.has_faults() && self.rng.random_bool(0.02);
        if is_down && !is_partitioned {
            let at = self.now + self.delay();
            self.push(at, answer(Err(Failure::Unreachable)));
        } else if !is_partitioned && !is_lost {
            let at = self.now + self.delay();
            self.push(
                at,
                Event::Arrive {
                    leader,
                    server,
                    ticket,
                    order,
                },
            );
        }
    }

    pub(super) fn arrive(&mut self, leader: usize, server: usize, ticket: Ticket, order: Order) {
        let node = &mut self.servers[server];
        if node.down_until > self.now {
            return;
        }
        if node.frozen_until > self.now {
            let at = node.frozen_until + Duration::from_micros(self.rng.random_range(0..500));
            let event = Event::Arrive {
                leader,
                server,
                ticket,
                order,
            };
            self.push(at, event);
            return;
        }
        let epoch = self.leaders[leader].epoch;
        let result = node.server.handle(epoch, &order, shard_digest, self.now);
        let is_lost = self.has_faults() && self.rng.random_bool(0.02);
        if self.leaders[leader].partitioned_until[server] <= self.now && !is_lost {
            let at = self.now + self.delay();
            self.push(
                at,
                Event::Answer {
                    leader,
                    server,
                    ticket,
                    result,
                },
            );
        }
    }

    /// Returns a random network delay, sometimes a very long one while faults are injected.
    pub(super) fn delay(&mut self) -> Duration {
        if self.has_faults() && self.rng.random_bool(0.03) {
            return Duration::from_millis(self.rng.random_range(1..4000));
        }
        Duration::from_micros(self.rng.random_range(100..3000))
    }
}

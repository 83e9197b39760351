//! Orders between a leader and the servers: when they arrive, and what the leader learns of them.

use std::time::Duration;

use copperwell_assignment::{
    machine::Timing,
    order::{Action, Order, Outcome},
};
use copperwell_routing::Incarnation;
use rand::RngExt;

use super::Simulation;

/// An order in flight, or one that is carried out late.
pub(super) struct SentOrder {
    order: Order,
    arrives_at: Duration,
    /// When the leader learns the outcome, and whether that is an answer.
    returns_at: Duration,
    is_answered: bool,
    /// How long after its arrival the order is carried out.
    delay: Duration,
    outcome: Option<Outcome>,
    /// The outcome for the leader if there is no answer.
    unanswered_outcome: Outcome,
    /// The run of the server that has the order in its receive buffer, so that it arrives even if
    /// the server becomes unreachable.
    received_by: Option<Incarnation>,
    leader: usize,
}

impl Simulation {
    pub(super) fn send(&mut self, order: Order) {
        let stored = self.stored.as_ref().unwrap();
        let is_planned = stored.ranges.iter().any(|range| {
            range.first <= order.first
                && order.last <= range.last
                && range.holder.as_ref() == Some(&order.holder)
                && range.fence == order.fence
        });
        if matches!(order.action, Action::Grant { .. }) {
            assert!(is_planned, "granted before it was stored: {order:?}");
        }
        if self.random.random_bool(self.read_late) {
            return self.send_read_late(order);
        }
        let arrives_at = self.now + Duration::from_millis(self.random.random_range(1..30));
        let is_answered = !self.random.random_bool(self.unanswered);
        let limit = Timing::default().grant_timeout;
        let delay = match is_answered {
            true => Duration::ZERO,
            false => Duration::from_millis(self.random.random_range(0..12_000)),
        };
        let returns_at = match is_answered {
            true => arrives_at + Duration::from_millis(1),
            false => self.now + limit,
        };
        self.in_flight.push(SentOrder {
            order,
            arrives_at,
            returns_at,
            is_answered,
            delay,
            outcome: None,
            unanswered_outcome: Outcome::Unknown,
            received_by: None,
            leader: self.leader,
        });
    }

    /// Sends an order that waits at the server until the server has capacity to read it.
    fn send_read_late(&mut self, order: Order) {
        let timing = Timing::default();
        let timeout = timing.timeouts(&order.action).new;
        let read_delay = self
            .random
            .random_range(Duration::ZERO..timing.read_delay_max);
        let address = order.address;
        let mut servers = self.servers.iter();
        let server = servers.find(|server| server.upstream.address == address);
        let reachable = server.filter(|server| server.is_reachable && server.is_up);
        let received_by = reachable.map(|server| server.upstream.born);
        self.in_flight.push(SentOrder {
            order,
            arrives_at: self.now + read_delay,
            returns_at: self.now + read_delay.min(timeout),
            is_answered: read_delay < timeout,
            delay: Duration::ZERO,
            outcome: None,
            unanswered_outcome: Outcome::UnreadOnNewConnection,
            received_by,
            leader: self.leader,
        });
    }

    pub(super) fn deliver_orders(&mut self) {
        let now = self.now;
        let mut in_flight = std::mem::take(&mut self.in_flight);
        for sent in &mut in_flight {
            if sent.outcome.is_none() && now >= sent.arrives_at + sent.delay {
                let outcome = self.deliver(&sent.order, sent.arrives_at, sent.received_by);
                sent.outcome = Some(outcome);
            }
        }
        let (finished, waiting): (Vec<_>, Vec<_>) = in_flight
            .into_iter()
            .partition(|sent| now >= sent.returns_at && sent.outcome.is_some());
        self.in_flight = waiting;
        // An order without an answer times out, and may still be carried out.
        for sent in &mut self.in_flight {
            if !sent.is_answered && now >= sent.returns_at && sent.leader == self.leader {
                sent.leader = usize::MAX;
                self.machine
                    .apply_outcome(&sent.order, sent.unanswered_outcome.clone(), now);
            }
        }
        for sent in finished {
            if sent.leader == self.leader {
                let outcome = match sent.is_answered {
                    true => sent.outcome.unwrap(),
                    false => sent.unanswered_outcome,
                };
                self.machine.apply_outcome(&sent.order, outcome, now);
            }
        }
    }

    fn deliver(
        &mut self,
        order: &Order,
        arrived: Duration,
        received_by: Option<Incarnation>,
    ) -> Outcome {
        let now = self.now;
        let server = self
            .servers
            .iter_mut()
            .find(|server| server.upstream.address == order.address)
            .unwrap();
        if !server.is_up {
            return Outcome::Refused;
        }
        if received_by.is_some_and(|born| born != server.upstream.born) {
            return Outcome::Broken;
        }
        if server.is_path_lost {
            return Outcome::Unsent;
        }
        if !server.is_reachable && received_by.is_none() {
            return Outcome::Unknown;
        }
        if !std::mem::replace(&mut server.is_connected, true) {
            // The connection to the previous run is found broken.
            return Outcome::Broken;
        }
        server.apply_order(order, arrived, now)
    }
}

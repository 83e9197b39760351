//! Compares the queue with a naive model that keeps one list.

use std::net::{IpAddr, Ipv4Addr};

use copperwell_message::Class;
use copperwell_policy::queue::{Dequeued, Queue, Refusal, Request, Ticket};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

const CAPACITY: usize = 8;
const BATCH_SHARE: usize = CAPACITY / 4;

#[derive(Debug, Clone, Copy)]
enum Action {
    Push(Request),
    Pop { batch: bool, idle: bool },
    Remove(Ticket),
}

/// A model of the queue in one list; callers are ordered by when they were last served or joined.
#[derive(Default)]
struct Model {
    queued: Vec<Dequeued>,
    order: Vec<(Class, IpAddr, u64)>,
    clock: u64,
    next_ticket: Ticket,
    interactive_in_a_row: u32,
}

impl Model {
    fn count(&self, class: Class, caller: Option<IpAddr>) -> usize {
        let matches = |next: &&Dequeued| {
            next.request.class == class && caller.is_none_or(|caller| next.request.caller == caller)
        };
        self.queued.iter().filter(matches).count()
    }

    /// Returns the callers of a class that have requests queued, in the order of service.
    fn callers(&self, class: Class) -> Vec<IpAddr> {
        let mut order = self.order.clone();
        order.sort_by_key(|entry| entry.2);
        let waiting = order
            .iter()
            .filter(|entry| entry.0 == class && self.count(class, Some(entry.1)) > 0);
        waiting.map(|entry| entry.1).collect()
    }

    fn move_to_back(&mut self, class: Class, caller: IpAddr) {
        self.clock += 1;
        self.order
            .retain(|entry| (entry.0, entry.1) != (class, caller));
        self.order.push((class, caller, self.clock));
    }

    fn push(&mut self, request: Request) -> Result<Option<Ticket>, Refusal> {
        let displaced = if self.queued.len() < CAPACITY {
            None
        } else {
            Some(self.displace(request)?)
        };
        if self.count(request.class, Some(request.caller)) == 0 {
            self.move_to_back(request.class, request.caller);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.queued.push(Dequeued { ticket, request });
        Ok(displaced)
    }

    fn displace(&mut self, request: Request) -> Result<Ticket, Refusal> {
        let batch = self.count(Class::Batch, None);
        let class = match request.class {
            Class::Interactive if batch > BATCH_SHARE => Class::Batch,
            Class::Batch if batch < BATCH_SHARE => Class::Interactive,
            same => same,
        };
        let own_count = self.count(request.class, Some(request.caller));
        let busiest = self
            .callers(class)
            .into_iter()
            .max_by_key(|caller| self.count(class, Some(*caller)));
        let busiest = busiest.ok_or(Refusal::Full)?;
        if class == request.class && self.count(class, Some(busiest)) <= own_count + 1 {
            let has_share = own_count > 0 && self.callers(class).len() > 1;
            return Err(if has_share {
                Refusal::Share
            } else {
                Refusal::Full
            });
        }
        let newest =
            |next: &Dequeued| next.request.class == class && next.request.caller == busiest;
        let index = self.queued.iter().rposition(newest).ok_or(Refusal::Full)?;
        Ok(self.queued.remove(index).ticket)
    }

    fn pop(&mut self, may_start_batch: bool, is_idle: bool) -> Option<Dequeued> {
        let interactive = self.count(Class::Interactive, None) > 0;
        let batch = may_start_batch && self.count(Class::Batch, None) > 0;
        let class = if batch && (!interactive || self.interactive_in_a_row >= 7) {
            Class::Batch
        } else {
            Class::Interactive
        };
        let caller = *self.callers(class).first()?;
        let first = |next: &Dequeued| next.request.class == class && next.request.caller == caller;
        let index = self.queued.iter().position(first)?;
        if self.queued[index].request.is_exclusive && !is_idle {
            return None;
        }
        let next = self.queued.remove(index);
        self.move_to_back(class, caller);
        let passed_batch = class == Class::Interactive && self.count(Class::Batch, None) > 0;
        self.interactive_in_a_row = if passed_batch {
            self.interactive_in_a_row + 1
        } else {
            0
        };
        Some(next)
    }

    fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.queued.len();
        self.queued.retain(|next| next.ticket != ticket);
        self.queued.len() < before
    }
}

fn request() -> impl Strategy<Value = Request> {
    (any::<bool>(), 0..4_u8, 0..10_u8).prop_map(|(batch, caller, exclusive)| Request {
        class: if batch {
            Class::Batch
        } else {
            Class::Interactive
        },
        caller: IpAddr::V4(Ipv4Addr::new(10, 0, 0, caller)),
        is_exclusive: exclusive == 0,
    })
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => request().prop_map(Action::Push),
        3 => (any::<bool>(), any::<bool>()).prop_map(|(batch, idle)| Action::Pop { batch, idle }),
        1 => (0..60_u64).prop_map(Action::Remove),
    ]
}

/// Runs `cases` cases from a fixed seed.
fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn queue_serves_like_the_model(actions in vec(action(), 0..200)) {
        let mut queue = Queue::new(CAPACITY);
        let mut model = Model::default();
        for action in actions {
            match action {
                Action::Push(request) => {
                    let displaced = queue.push(request).map(|enqueued| enqueued.displaced);
                    prop_assert_eq!(displaced, model.push(request));
                }
                Action::Pop { batch, idle } => {
                    prop_assert_eq!(queue.pop(batch, idle), model.pop(batch, idle));
                }
                Action::Remove(ticket) => prop_assert_eq!(
                    queue.remove(ticket),
                    model.remove(ticket)
                ),
            }
            let len = queue.len(Class::Interactive) + queue.len(Class::Batch);
            prop_assert_eq!(len, model.queued.len());
            prop_assert!(len <= CAPACITY);
        }
    }

    #[test]
    fn burst_of_one_caller_leaves_places_for_others(burst in 8..40_usize) {
        let from = |caller| Request {
            class: Class::Interactive,
            caller: IpAddr::V4(Ipv4Addr::new(10, 0, 0, caller)),
            is_exclusive: false,
        };
        let mut queue = Queue::new(CAPACITY);
        for _ in 0..burst {
            // Requests beyond the capacity are refused.
            let _ = queue.push(from(1));
        }
        prop_assert!(queue.push(from(2)).is_ok());
        queue.pop(true, true);
        let next = queue.pop(true, true).map(|next| next.request.caller);
        prop_assert_eq!(next, Some(from(2).caller));
    }
}

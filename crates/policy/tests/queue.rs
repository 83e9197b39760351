//! The queue against a naive version that keeps one list.

use std::net::{IpAddr, Ipv4Addr};

use copperwell_message::Class;
use copperwell_policy::queue::{Next, Queue, Refusal, Ticket, Wait};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

const CAPACITY: usize = 8;
const BATCH_PART: usize = CAPACITY / 4;

#[derive(Debug, Clone, Copy)]
enum Act {
    Push(Wait),
    Pop { batch: bool, idle: bool },
    Remove(Ticket),
}

/// One list; each caller's turn comes by when it was last served or joined.
#[derive(Default)]
struct Naive {
    waits: Vec<Next>,
    turns: Vec<(Class, IpAddr, u64)>,
    clock: u64,
    tickets: Ticket,
    interactive_in_a_row: u32,
}

impl Naive {
    fn count(&self, class: Class, caller: Option<IpAddr>) -> usize {
        let matches = |next: &&Next| {
            next.wait.class == class && caller.is_none_or(|caller| next.wait.caller == caller)
        };
        self.waits.iter().filter(matches).count()
    }

    /// Callers of a class that wait, in the order of their turns.
    fn callers(&self, class: Class) -> Vec<IpAddr> {
        let mut turns = self.turns.clone();
        turns.sort_by_key(|turn| turn.2);
        let waiting = turns
            .iter()
            .filter(|turn| turn.0 == class && self.count(class, Some(turn.1)) > 0);
        waiting.map(|turn| turn.1).collect()
    }

    fn stamp(&mut self, class: Class, caller: IpAddr) {
        self.clock += 1;
        self.turns
            .retain(|turn| (turn.0, turn.1) != (class, caller));
        self.turns.push((class, caller, self.clock));
    }

    fn push(&mut self, wait: Wait) -> Result<Option<Ticket>, Refusal> {
        let displaced = if self.waits.len() < CAPACITY {
            None
        } else {
            Some(self.displace(wait)?)
        };
        if self.count(wait.class, Some(wait.caller)) == 0 {
            self.stamp(wait.class, wait.caller);
        }
        let ticket = self.tickets;
        self.tickets += 1;
        self.waits.push(Next { ticket, wait });
        Ok(displaced)
    }

    fn displace(&mut self, wait: Wait) -> Result<Ticket, Refusal> {
        let batch = self.count(Class::Batch, None);
        let class = match wait.class {
            Class::Interactive if batch > BATCH_PART => Class::Batch,
            Class::Batch if batch < BATCH_PART => Class::Interactive,
            same => same,
        };
        let own = self.count(wait.class, Some(wait.caller));
        let most = self
            .callers(class)
            .into_iter()
            .max_by_key(|caller| self.count(class, Some(*caller)));
        let most = most.ok_or(Refusal::Full)?;
        if class == wait.class && self.count(class, Some(most)) <= own + 1 {
            let shares = own > 0 && self.callers(class).len() > 1;
            return Err(if shares {
                Refusal::Share
            } else {
                Refusal::Full
            });
        }
        let newest = |next: &Next| next.wait.class == class && next.wait.caller == most;
        let at = self.waits.iter().rposition(newest).ok_or(Refusal::Full)?;
        Ok(self.waits.remove(at).ticket)
    }

    fn pop(&mut self, batch_allowed: bool, idle: bool) -> Option<Next> {
        let interactive = self.count(Class::Interactive, None) > 0;
        let batch = batch_allowed && self.count(Class::Batch, None) > 0;
        let class = if batch && (!interactive || self.interactive_in_a_row >= 7) {
            Class::Batch
        } else {
            Class::Interactive
        };
        let caller = *self.callers(class).first()?;
        let first = |next: &Next| next.wait.class == class && next.wait.caller == caller;
        let at = self.waits.iter().position(first)?;
        if self.waits[at].wait.alone && !idle {
            return None;
        }
        let next = self.waits.remove(at);
        self.stamp(class, caller);
        let passed = class == Class::Interactive && self.count(Class::Batch, None) > 0;
        self.interactive_in_a_row = if passed {
            self.interactive_in_a_row + 1
        } else {
            0
        };
        Some(next)
    }

    fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.waits.len();
        self.waits.retain(|next| next.ticket != ticket);
        self.waits.len() < before
    }
}

fn wait() -> impl Strategy<Value = Wait> {
    (any::<bool>(), 0..4_u8, 0..10_u8).prop_map(|(batch, caller, alone)| Wait {
        class: if batch {
            Class::Batch
        } else {
            Class::Interactive
        },
        caller: IpAddr::V4(Ipv4Addr::new(10, 0, 0, caller)),
        alone: alone == 0,
    })
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        4 => wait().prop_map(Act::Push),
        3 => (any::<bool>(), any::<bool>()).prop_map(|(batch, idle)| Act::Pop { batch, idle }),
        1 => (0..60_u64).prop_map(Act::Remove),
    ]
}

/// Cases from a fixed seed.
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
    fn it_serves_as_the_naive_version_does(acts in vec(act(), 0..200)) {
        let mut queue = Queue::new(CAPACITY);
        let mut naive = Naive::default();
        for act in acts {
            match act {
                Act::Push(wait) => {
                    let placed = queue.push(wait).map(|place| place.displaced);
                    prop_assert_eq!(placed, naive.push(wait));
                }
                Act::Pop { batch, idle } => {
                    prop_assert_eq!(queue.pop(batch, idle), naive.pop(batch, idle));
                }
                Act::Remove(ticket) => prop_assert_eq!(queue.remove(ticket), naive.remove(ticket)),
            }
            let len = queue.len(Class::Interactive) + queue.len(Class::Batch);
            prop_assert_eq!(len, naive.waits.len());
            prop_assert!(len <= CAPACITY);
        }
    }

    #[test]
    fn a_burst_of_one_caller_leaves_the_others_their_places(burst in 8..40_usize) {
        let from = |caller| Wait {
            class: Class::Interactive,
            caller: IpAddr::V4(Ipv4Addr::new(10, 0, 0, caller)),
            alone: false,
        };
        let mut queue = Queue::new(CAPACITY);
        for _ in 0..burst {
            // Those beyond the capacity are refused.
            let _ = queue.push(from(1));
        }
        prop_assert!(queue.push(from(2)).is_ok());
        queue.pop(true, true);
        let next = queue.pop(true, true).map(|next| next.wait.caller);
        prop_assert_eq!(next, Some(from(2).caller));
    }
}

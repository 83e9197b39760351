//! The order in which requests that wait for one upstream are served.
//!
//! Interactive goes before batch, but batch has a guaranteed part of the starts. Within a class,
//! callers take turns. A full queue drops the newest request of the caller that has most waiting,
//! so one caller's burst displaces its own requests first.

use std::{collections::VecDeque, net::IpAddr};

use copperwell_message::{Class, HashMap};

/// Of this many starts, one is batch while both classes wait.
const BATCH_TURN: u32 = 8;

/// Of this many places, one is kept for batch when interactive fills the queue.
const BATCH_PART: usize = 4;

/// Names a waiting request; later ones are higher.
pub type Ticket = u64;

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// Its class.
    pub class: Class,
    /// Its caller.
    pub caller: IpAddr,
    /// Whether it may run only while nothing else does.
    pub alone: bool,
}

/// A request that is next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Next {
    /// Its ticket.
    pub ticket: Ticket,
    /// The request.
    pub wait: Wait,
}

/// A request that found a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Its ticket.
    pub ticket: Ticket,
    /// The request that lost its place to it.
    pub displaced: Option<Ticket>,
}

/// Why a request finds no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The queue is full, and nobody has more waiting than this caller.
    Full,
    /// The queue is full, and this caller has its share of it.
    Share,
}

/// Requests ahead of one that would come now, by class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ahead {
    /// Interactive ones.
    pub interactive: usize,
    /// Batch ones.
    pub batch: usize,
}

/// The requests that wait for one upstream.
#[derive(Debug)]
pub struct Queue {
    capacity: usize,
    interactive: Lane,
    batch: Lane,
    waits: HashMap<Ticket, Wait>,
    next_ticket: Ticket,
    /// Interactive starts since the last batch start, while batch waited.
    passed_over: u32,
}

/// The requests of one class: callers take turns.
#[derive(Debug, Default)]
struct Lane {
    callers: HashMap<IpAddr, VecDeque<Ticket>>,
    turns: VecDeque<IpAddr>,
    len: usize,
}

impl Queue {
    /// A queue of `capacity` places.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            interactive: Lane::default(),
            batch: Lane::default(),
            waits: HashMap::default(),
            next_ticket: 0,
            passed_over: 0,
        }
    }

    /// Changes the number of places; requests that wait beyond it keep theirs.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Requests of a class that wait.
    #[must_use]
    pub fn len(&self, class: Class) -> usize {
        self.lane(class).len
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waits.is_empty()
    }

    /// What would be served before a request of `caller` that came now, at most.
    #[must_use]
    pub fn ahead(&self, class: Class, caller: IpAddr) -> Ahead {
        let same = self.lane(class).ahead(caller);
        let turn = BATCH_TURN as usize - 1;
        match class {
            Class::Interactive => Ahead {
                interactive: same,
                batch: self.batch.len.min(same / turn),
            },
            Class::Batch => Ahead {
                interactive: self.interactive.len.min((same + 1) * turn),
                batch: same,
            },
        }
    }

    /// Gives a request a place, if need be that of another.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the queue is full and the request has no better claim than another.
    pub fn push(&mut self, wait: Wait) -> Result<Place, Refusal> {
        let displaced = if self.waits.len() < self.capacity {
            None
        } else {
            Some(self.displace(wait)?)
        };
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waits.insert(ticket, wait);
        self.lane_mut(wait.class).push(wait.caller, ticket);
        Ok(Place { ticket, displaced })
    }

    /// Takes the next request out.
    ///
    /// `batch` tells whether batch may start, and `idle` whether nothing runs. A request that must
    /// run alone holds up the others once it is next, so its turn comes.
    pub fn pop(&mut self, batch: bool, idle: bool) -> Option<Next> {
        let class = self.next_class(batch)?;
        let ticket = self.lane(class).front()?;
        let wait = *self.waits.get(&ticket)?;
        if wait.alone && !idle {
            return None;
        }
        self.lane_mut(class).pop();
        self.waits.remove(&ticket);
        self.count_start(class);
        Some(Next { ticket, wait })
    }

    /// Takes a request out that waits no longer; `false` if it does not wait.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(wait) = self.waits.remove(&ticket) else {
            return false;
        };
        self.lane_mut(wait.class).remove(wait.caller, ticket);
        true
    }

    fn next_class(&self, batch: bool) -> Option<Class> {
        let batch = batch && self.batch.len > 0;
        let interactive = self.interactive.len > 0;
        match (interactive, batch) {
            (false, false) => None,
            (true, false) => Some(Class::Interactive),
            (false, true) => Some(Class::Batch),
            (true, true) if self.passed_over + 1 >= BATCH_TURN => Some(Class::Batch),
            (true, true) => Some(Class::Interactive),
        }
    }

    fn count_start(&mut self, class: Class) {
        if class == Class::Batch || self.batch.len == 0 {
            self.passed_over = 0;
        } else {
            self.passed_over = self.passed_over.saturating_add(1);
        }
    }

    fn displace(&mut self, by: Wait) -> Result<Ticket, Refusal> {
        let from = self.displaced_class(by.class);
        let own = if from == by.class {
            self.lane(from).len_of(by.caller) + 1
        } else {
            0
        };
        let Some(caller) = self.lane(from).largest() else {
            return Err(Refusal::Full);
        };
        if self.lane(from).len_of(caller) <= own {
            let shares = self.lane(by.class).callers.len() > 1;
            let has_share = self.lane(by.class).len_of(by.caller) > 0;
            return Err(if shares && has_share {
                Refusal::Share
            } else {
                Refusal::Full
            });
        }
        let ticket = self.lane(from).newest(caller).ok_or(Refusal::Full)?;
        self.remove(ticket);
        Ok(ticket)
    }

    /// The class that gives up a place: the other one, if it has more than its part.
    fn displaced_class(&self, class: Class) -> Class {
        let batch_part = self.capacity / BATCH_PART;
        match class {
            Class::Interactive if self.batch.len > batch_part => Class::Batch,
            Class::Batch if self.batch.len < batch_part => Class::Interactive,
            same => same,
        }
    }

    fn lane(&self, class: Class) -> &Lane {
        match class {
            Class::Interactive => &self.interactive,
            Class::Batch => &self.batch,
        }
    }

    fn lane_mut(&mut self, class: Class) -> &mut Lane {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        }
    }
}

impl Lane {
    fn len_of(&self, caller: IpAddr) -> usize {
        self.callers.get(&caller).map_or(0, VecDeque::len)
    }

    /// The most requests that go before the next one of `caller`, as callers take turns.
    fn ahead(&self, caller: IpAddr) -> usize {
        let rounds = self.len_of(caller) + 1;
        self.len.min(rounds * self.callers.len())
    }

    fn largest(&self) -> Option<IpAddr> {
        let largest = self
            .turns
            .iter()
            .max_by_key(|caller| self.len_of(**caller))?;
        Some(*largest)
    }

    fn newest(&self, caller: IpAddr) -> Option<Ticket> {
        self.callers.get(&caller)?.back().copied()
    }

    fn front(&self) -> Option<Ticket> {
        let caller = self.turns.front()?;
        self.callers.get(caller)?.front().copied()
    }

    fn push(&mut self, caller: IpAddr, ticket: Ticket) {
        let tickets = self.callers.entry(caller).or_default();
        if tickets.is_empty() {
            self.turns.push_back(caller);
        }
        tickets.push_back(ticket);
        self.len += 1;
    }

    fn pop(&mut self) {
        let Some(caller) = self.turns.pop_front() else {
            return;
        };
        let Some(tickets) = self.callers.get_mut(&caller) else {
            return;
        };
        tickets.pop_front();
        self.len -= 1;
        if tickets.is_empty() {
            self.callers.remove(&caller);
        } else {
            self.turns.push_back(caller);
        }
    }

    fn remove(&mut self, caller: IpAddr, ticket: Ticket) {
        let Some(tickets) = self.callers.get_mut(&caller) else {
            return;
        };
        // Tickets rise, so a caller's are in order.
        let Ok(at) = tickets.binary_search(&ticket) else {
            return;
        };
        tickets.remove(at);
        self.len -= 1;
        if tickets.is_empty() {
            self.callers.remove(&caller);
            self.turns.retain(|turn| *turn != caller);
        }
    }
}

//! The queue of requests that wait for one upstream.
//!
//! Interactive requests go before batch requests, but batch has a guaranteed share of the starts.
//! Within a class, callers are served round-robin. A full queue drops the newest request of the
//! caller that has the most queued, so that one caller's burst displaces its own requests first.

use std::{collections::VecDeque, net::IpAddr};

use copperwell_message::{Class, HashMap};

/// One start in this many is a batch request while both classes are queued.
const BATCH_START_INTERVAL: u32 = 8;

/// One place in this many is reserved for batch when interactive requests fill the queue.
const BATCH_CAPACITY_DIVISOR: usize = 4;

/// Identifies a queued request; tickets increase in the order of arrival.
pub type Ticket = u64;

/// A queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Its class.
    pub class: Class,
    /// Its caller.
    pub caller: IpAddr,
    /// Whether it may run only while no other request does.
    pub is_exclusive: bool,
}

/// A request that was taken from the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dequeued {
    /// Its ticket.
    pub ticket: Ticket,
    /// The request.
    pub request: Request,
}

/// A request that was added to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Enqueued {
    /// Its ticket.
    pub ticket: Ticket,
    /// The request that was dropped from the full queue for it.
    pub displaced: Option<Ticket>,
}

/// Why a request is not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The queue is full, and no other caller has enough requests queued to displace one of them.
    Full,
    /// The queue is full, and this caller already has its share of it.
    Share,
}

/// The maximum number of requests that are served before a new one, by class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backlog {
    /// Interactive requests.
    pub interactive: usize,
    /// Batch requests.
    pub batch: usize,
}

/// The requests that wait for one upstream.
#[derive(Debug)]
pub struct Queue {
    capacity: usize,
    interactive: Lane,
    batch: Lane,
    requests: HashMap<Ticket, Request>,
    next_ticket: Ticket,
    /// Interactive starts since the last batch start, while batch requests were queued.
    interactive_starts: u32,
}

/// The requests of one class, served round-robin by caller.
#[derive(Debug, Default)]
struct Lane {
    callers: HashMap<IpAddr, VecDeque<Ticket>>,
    round_robin: VecDeque<IpAddr>,
    len: usize,
}

impl Queue {
    /// Creates an empty queue for `capacity` requests.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            interactive: Lane::default(),
            batch: Lane::default(),
            requests: HashMap::default(),
            next_ticket: 0,
            interactive_starts: 0,
        }
    }

    /// Changes the capacity; requests that are queued beyond it stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the number of queued requests of a class.
    #[must_use]
    pub fn len(&self, class: Class) -> usize {
        self.lane(class).len
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns an upper bound of the requests that would be served before a new one of `caller`.
    #[must_use]
    pub fn backlog(&self, class: Class, caller: IpAddr) -> Backlog {
        let same = self.lane(class).backlog(caller);
        let interactive_per_batch = BATCH_START_INTERVAL as usize - 1;
        match class {
            Class::Interactive => Backlog {
                interactive: same,
                batch: self.batch.len.min(same / interactive_per_batch),
            },
            Class::Batch => Backlog {
                interactive: self.interactive.len.min((same + 1) * interactive_per_batch),
                batch: same,
            },
        }
    }

    /// Queues a request; if the queue is full, it may displace another one.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the queue is full and the request may not displace another one.
    pub fn push(&mut self, request: Request) -> Result<Enqueued, Refusal> {
        let displaced = if self.requests.len() < self.capacity {
            None
        } else {
            Some(self.displace(request)?)
        };
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.requests.insert(ticket, request);
        self.lane_mut(request.class).push(request.caller, ticket);
        Ok(Enqueued { ticket, displaced })
    }

    /// Takes the next request from the queue.
    ///
    /// `may_start_batch` says whether a batch request may start, and `is_idle` whether no request
    /// is in flight. An exclusive request blocks the others once it is next, so that it doesn't
    /// starve.
    pub fn pop(&mut self, may_start_batch: bool, is_idle: bool) -> Option<Dequeued> {
        let class = self.next_class(may_start_batch)?;
        let ticket = self.lane(class).front()?;
        let request = *self.requests.get(&ticket)?;
        if request.is_exclusive && !is_idle {
            return None;
        }
        self.lane_mut(class).pop();
        self.requests.remove(&ticket);
        self.record_start(class);
        Some(Dequeued { ticket, request })
    }

    /// Removes a request from the queue; returns `false` if it is not queued.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(request) = self.requests.remove(&ticket) else {
            return false;
        };
        self.lane_mut(request.class).remove(request.caller, ticket);
        true
    }

    fn next_class(&self, may_start_batch: bool) -> Option<Class> {
        let batch = may_start_batch && self.batch.len > 0;
        let interactive = self.interactive.len > 0;
        match (interactive, batch) {
            (false, false) => None,
            (true, false) => Some(Class::Interactive),
            (false, true) => Some(Class::Batch),
            (true, true) if self.interactive_starts + 1 >= BATCH_START_INTERVAL => {
                Some(Class::Batch)
            }
            (true, true) => Some(Class::Interactive),
        }
    }

    fn record_start(&mut self, class: Class) {
        if class == Class::Batch || self.batch.len == 0 {
            self.interactive_starts = 0;
        } else {
            self.interactive_starts = self.interactive_starts.saturating_add(1);
        }
    }

    /// Drops a request from the full queue in favour of `arriving`.
    fn displace(&mut self, arriving: Request) -> Result<Ticket, Refusal> {
        let class = self.displaced_class(arriving.class);
        let own_len = if class == arriving.class {
            self.lane(class).len_of(arriving.caller) + 1
        } else {
            0
        };
        let Some(caller) = self.lane(class).busiest_caller() else {
            return Err(Refusal::Full);
        };
        if self.lane(class).len_of(caller) <= own_len {
            let is_shared = self.lane(arriving.class).callers.len() > 1;
            let has_share = self.lane(arriving.class).len_of(arriving.caller) > 0;
            return Err(if is_shared && has_share {
                Refusal::Share
            } else {
                Refusal::Full
            });
        }
        let ticket = self.lane(class).newest(caller).ok_or(Refusal::Full)?;
        self.remove(ticket);
        Ok(ticket)
    }

    /// Returns the class from which a request of `class` displaces one: the other class, if that
    /// exceeds its share of the capacity, and otherwise its own.
    fn displaced_class(&self, class: Class) -> Class {
        let batch_share = self.capacity / BATCH_CAPACITY_DIVISOR;
        match class {
            Class::Interactive if self.batch.len > batch_share => Class::Batch,
            Class::Batch if self.batch.len < batch_share => Class::Interactive,
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

    /// Returns an upper bound of the requests that are served before a new one of `caller`.
    fn backlog(&self, caller: IpAddr) -> usize {
        let rounds = self.len_of(caller) + 1;
        self.len.min(rounds * self.callers.len())
    }

    fn busiest_caller(&self) -> Option<IpAddr> {
        let busiest = self
            .round_robin
            .iter()
            .max_by_key(|caller| self.len_of(**caller))?;
        Some(*busiest)
    }

    fn newest(&self, caller: IpAddr) -> Option<Ticket> {
        self.callers.get(&caller)?.back().copied()
    }

    fn front(&self) -> Option<Ticket> {
        let caller = self.round_robin.front()?;
        self.callers.get(caller)?.front().copied()
    }

    fn push(&mut self, caller: IpAddr, ticket: Ticket) {
        let tickets = self.callers.entry(caller).or_default();
        if tickets.is_empty() {
            self.round_robin.push_back(caller);
        }
        tickets.push_back(ticket);
        self.len += 1;
    }

    fn pop(&mut self) {
        let Some(caller) = self.round_robin.pop_front() else {
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
            self.round_robin.push_back(caller);
        }
    }

    fn remove(&mut self, caller: IpAddr, ticket: Ticket) {
        let Some(tickets) = self.callers.get_mut(&caller) else {
            return;
        };
        // A caller's tickets are in ascending order, since tickets increase.
        let Ok(index) = tickets.binary_search(&ticket) else {
            return;
        };
        tickets.remove(index);
        self.len -= 1;
        if tickets.is_empty() {
            self.callers.remove(&caller);
            self.round_robin.retain(|other| *other != caller);
        }
    }
}

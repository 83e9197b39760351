//! Tests of the scheduling of requests over several keys.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use copperwell_policy::schedule::{Admitted, Demand, Part, Refusal, Schedule, Ticket};
use test_case::test_case;
use tokio::time::Instant;

const CONCURRENCY: usize = 16;
const KEYS: usize = 8;
const SERVICE_TIME: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_secs(5);

fn demand(now: Instant, parts: usize, deadline: Duration) -> Demand {
    Demand {
        parts,
        concurrency: parts.min(KEYS),
        deadline: now + deadline,
    }
}

fn admit(schedule: &mut Schedule, now: Instant, parts: usize) -> Ticket {
    let Admitted { ticket, .. } = schedule.admit(now, demand(now, parts, DEADLINE)).unwrap();
    for index in 0..parts {
        schedule.enqueue(Part { ticket, index });
    }
    ticket
}

fn schedule(max: usize) -> Schedule {
    let mut schedule = Schedule::new();
    schedule.set_max(max);
    schedule
}

#[test]
fn earlier_request_starts_all_its_parts_first() {
    let mut schedule = schedule(2);
    let now = Instant::now();
    let (first, second) = (admit(&mut schedule, now, 3), admit(&mut schedule, now, 1));
    let mut started_parts = Vec::new();
    while started_parts.len() < 4 {
        match schedule.start_next() {
            Some(part) => started_parts.push((part.ticket, part.index)),
            None => schedule.finish(Some(SERVICE_TIME)),
        }
    }
    assert_eq!(
        started_parts,
        [(first, 0), (first, 1), (first, 2), (second, 0)]
    );
}

#[test]
fn part_of_a_cancelled_request_never_starts() {
    let mut schedule = schedule(1);
    let now = Instant::now();
    let (first, second) = (admit(&mut schedule, now, 2), admit(&mut schedule, now, 1));
    assert_eq!(schedule.start_next().map(|part| part.ticket), Some(first));
    schedule.remove(Part {
        ticket: first,
        index: 1,
    });
    schedule.end(first);
    schedule.finish(None);
    assert_eq!(schedule.start_next().map(|part| part.ticket), Some(second));
    schedule.finish(None);
    schedule.end(second);
    assert_eq!((schedule.running(), schedule.unfinished()), (0, 0));
}

#[test_case(Duration::from_secs(5), true; "enough time")]
#[test_case(Duration::from_secs(1), false; "too little time")]
fn queued_request_is_refused_if_it_cannot_complete_in_time(deadline: Duration, admitted: bool) {
    let mut schedule = schedule(1);
    let now = Instant::now();
    // The mean of a part is one second, and one part is ahead.
    admit(&mut schedule, now, 1);
    schedule.start_next().unwrap();
    schedule.finish(Some(Duration::from_secs(1)));
    admit(&mut schedule, now, 1);
    let result = schedule.admit(now, demand(now, 1, deadline));
    assert_eq!(result.is_ok(), admitted);
    if let Err(Refusal { retry_after }) = result {
        assert_eq!(retry_after, Duration::from_secs(1));
    }
}

#[test]
fn nothing_is_refused_while_there_is_capacity() {
    let mut schedule = schedule(1);
    let now = Instant::now();
    admit(&mut schedule, now, 1);
    schedule.start_next().unwrap();
    schedule.finish(Some(Duration::from_secs(3600)));
    let late = demand(now, 1, Duration::from_millis(1));
    assert!(schedule.admit(now, late).is_ok());
}

/// Simulates servers that run `CONCURRENCY` parts at a time, each for `SERVICE_TIME`, in steps of a
/// millisecond.
#[derive(Default)]
struct Simulation {
    schedule: Schedule,
    /// The time in milliseconds at which each part in flight ends, in order.
    running: VecDeque<(u64, Ticket)>,
    /// Unfinished parts of each request, and its deadline in milliseconds.
    open: BTreeMap<Ticket, (usize, u64)>,
    started_parts: usize,
    completed: usize,
}

impl Simulation {
    fn step(&mut self, start: Instant, now_ms: u64, arrives: bool) {
        let now = start + Duration::from_millis(now_ms);
        while self.running.front().is_some_and(|(end, _)| *end <= now_ms) {
            let (_, ticket) = self.running.pop_front().unwrap();
            self.schedule.finish(Some(SERVICE_TIME));
            self.finish_part(ticket, now_ms);
        }
        if arrives && let Ok(admitted) = self.schedule.admit(now, demand(now, KEYS, DEADLINE)) {
            let ticket = admitted.ticket;
            for index in 0..KEYS {
                self.schedule.enqueue(Part { ticket, index });
            }
            let deadline = now_ms + u64::try_from(DEADLINE.as_millis()).unwrap();
            self.open.insert(ticket, (KEYS, deadline));
        }
        while let Some(part) = self.schedule.start_next() {
            let end = now_ms + u64::try_from(SERVICE_TIME.as_millis()).unwrap();
            self.running.push_back((end, part.ticket));
            self.started_parts += 1;
        }
    }

    fn finish_part(&mut self, ticket: Ticket, now_ms: u64) {
        let (unfinished, deadline) = self.open.get_mut(&ticket).unwrap();
        *unfinished -= 1;
        if *unfinished == 0 {
            self.completed += usize::from(now_ms <= *deadline);
            self.open.remove(&ticket);
            self.schedule.end(ticket);
        }
    }
}

/// Guards against overload in which requests miss their deadlines half done. The capacity is 50
/// requests a second: every request that starts completes in time, and at least nine tenths of the
/// capacity complete, the rest being the ramp-up.
#[test_case(20; "at the capacity")]
#[test_case(10; "at twice the capacity")]
#[test_case(4; "at five times the capacity")]
fn capacity_goes_to_requests_that_complete_in_time(arrival_ms: u64) {
    let mut simulation = Simulation {
        schedule: schedule(CONCURRENCY),
        ..Simulation::default()
    };
    let start = Instant::now();
    for now_ms in 0..30_000 {
        simulation.step(start, now_ms, now_ms % arrival_ms == 0);
    }
    assert!(
        simulation.completed >= 50 * 30 * 9 / 10,
        "{} completed",
        simulation.completed
    );
    let open_parts = simulation.open.len() * KEYS;
    assert!(simulation.started_parts <= simulation.completed * KEYS + open_parts);
}

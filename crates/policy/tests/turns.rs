//! The turns of requests over several keys.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use copperwell_policy::turns::{Entered, Hopeless, Part, Ticket, Turns, Want};
use test_case::test_case;
use tokio::time::Instant;

const MOST: usize = 16;
const KEYS: usize = 8;
const SERVICE: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_secs(5);

fn want(now: Instant, parts: usize, deadline: Duration) -> Want {
    Want {
        parts,
        at_once: parts.min(KEYS),
        deadline: now + deadline,
    }
}

fn enter(turns: &mut Turns, now: Instant, parts: usize) -> Ticket {
    let Entered { ticket, .. } = turns.enter(now, want(now, parts, DEADLINE)).unwrap();
    for index in 0..parts {
        turns.want(Part { ticket, index });
    }
    ticket
}

fn turns(most: usize) -> Turns {
    let mut turns = Turns::new();
    turns.set_most(most);
    turns
}

#[test]
fn earlier_request_begins_all_its_parts_first() {
    let mut turns = turns(2);
    let now = Instant::now();
    let (first, second) = (enter(&mut turns, now, 3), enter(&mut turns, now, 1));
    let mut begun = Vec::new();
    while begun.len() < 4 {
        match turns.begin() {
            Some(part) => begun.push((part.ticket, part.index)),
            None => turns.finish(Some(SERVICE)),
        }
    }
    assert_eq!(begun, [(first, 0), (first, 1), (first, 2), (second, 0)]);
}

#[test]
fn part_of_a_request_that_went_away_never_begins() {
    let mut turns = turns(1);
    let now = Instant::now();
    let (first, second) = (enter(&mut turns, now, 2), enter(&mut turns, now, 1));
    assert_eq!(turns.begin().map(|part| part.ticket), Some(first));
    turns.forget(Part {
        ticket: first,
        index: 1,
    });
    turns.leave(first);
    turns.finish(None);
    assert_eq!(turns.begin().map(|part| part.ticket), Some(second));
    turns.finish(None);
    turns.leave(second);
    assert_eq!((turns.running(), turns.unfinished()), (0, 0));
}

#[test_case(Duration::from_secs(5), true; "time enough")]
#[test_case(Duration::from_secs(1), false; "too little time")]
fn request_behind_others_is_refused_if_it_cannot_be_whole(deadline: Duration, fits: bool) {
    let mut turns = turns(1);
    let now = Instant::now();
    // A part takes a second, and one is before.
    enter(&mut turns, now, 1);
    turns.begin().unwrap();
    turns.finish(Some(Duration::from_secs(1)));
    enter(&mut turns, now, 1);
    let entered = turns.enter(now, want(now, 1, deadline));
    assert_eq!(entered.is_ok(), fits);
    if let Err(Hopeless { retry_after }) = entered {
        assert_eq!(retry_after, Duration::from_secs(1));
    }
}

#[test]
fn nothing_is_refused_while_there_is_room() {
    let mut turns = turns(1);
    let now = Instant::now();
    enter(&mut turns, now, 1);
    turns.begin().unwrap();
    turns.finish(Some(Duration::from_secs(3600)));
    let late = want(now, 1, Duration::from_millis(1));
    assert!(turns.enter(now, late).is_ok());
}

/// Servers that run `MOST` parts at a time, each for `SERVICE`, in steps of a millisecond.
#[derive(Default)]
struct World {
    turns: Turns,
    /// Begun parts, by when they end, in order.
    running: VecDeque<(u64, Ticket)>,
    /// Parts that have not ended, and the deadline.
    open: BTreeMap<Ticket, (usize, u64)>,
    begun: usize,
    whole: usize,
}

impl World {
    fn step(&mut self, start: Instant, now_ms: u64, arrives: bool) {
        let now = start + Duration::from_millis(now_ms);
        while self.running.front().is_some_and(|(end, _)| *end <= now_ms) {
            let (_, ticket) = self.running.pop_front().unwrap();
            self.turns.finish(Some(SERVICE));
            self.end(ticket, now_ms);
        }
        if arrives && let Ok(entered) = self.turns.enter(now, want(now, KEYS, DEADLINE)) {
            let ticket = entered.ticket;
            for index in 0..KEYS {
                self.turns.want(Part { ticket, index });
            }
            let deadline = now_ms + u64::try_from(DEADLINE.as_millis()).unwrap();
            self.open.insert(ticket, (KEYS, deadline));
        }
        while let Some(part) = self.turns.begin() {
            let end = now_ms + u64::try_from(SERVICE.as_millis()).unwrap();
            self.running.push_back((end, part.ticket));
            self.begun += 1;
        }
    }

    fn end(&mut self, ticket: Ticket, now_ms: u64) {
        let (left, deadline) = self.open.get_mut(&ticket).unwrap();
        *left -= 1;
        if *left == 0 {
            self.whole += usize::from(now_ms <= *deadline);
            self.open.remove(&ticket);
            self.turns.leave(ticket);
        }
    }
}

/// 50 requests a second are the capacity. Of what begins, all comes back whole, and no more than the
/// ramp-up is lost of the capacity.
#[test_case(20; "at the capacity")]
#[test_case(10; "at twice the capacity")]
#[test_case(4; "at five times the capacity")]
fn work_goes_to_requests_that_come_back_whole(arrival_ms: u64) {
    let mut world = World {
        turns: turns(MOST),
        ..World::default()
    };
    let start = Instant::now();
    for now_ms in 0..30_000 {
        world.step(start, now_ms, now_ms % arrival_ms == 0);
    }
    assert!(world.whole >= 50 * 30 * 9 / 10, "{} whole", world.whole);
    let under_way = world.open.len() * KEYS;
    assert!(world.begun <= world.whole * KEYS + under_way);
}

//! The order of queued requests, and what callers get from it.

use std::{collections::HashMap, time::Duration};

use copperwell_routing::schedule::{Cause, Entry, Queued, Refused, Schedule, Ticket};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use test_case::test_case;
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

/// A class of requests.
#[derive(Debug, Clone, Copy)]
struct Class {
    priority: u32,
    work: Duration,
    objective: Duration,
    deadline: Duration,
    /// Requests in a second.
    rate: f64,
}

/// 75 ms of work with a deadline of 1 s.
const SHORT: Class = Class {
    priority: 1,
    work: Duration::from_millis(75),
    objective: Duration::from_millis(500),
    deadline: Duration::from_secs(1),
    rate: 0.0,
};

/// 470 ms of work with a deadline of 4 s.
const LONG: Class = Class {
    priority: 2,
    work: Duration::from_millis(470),
    objective: Duration::from_secs(2),
    deadline: Duration::from_secs(4),
    rate: 0.0,
};

/// The permits of the simulated upstream.
const PERMITS: u32 = 6;

/// How permits are given in a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// By the schedule.
    Scheduled,
    /// In the order of arrival; a request leaves when its objective cannot be met any more.
    Fifo,
    /// Requests that find no permit are refused.
    Immediate,
}

/// What became of the requests of one class.
#[derive(Debug, Clone, Default)]
struct Outcome {
    requests: f64,
    /// Answered within the deadline.
    served: f64,
    /// Answered within the objective.
    in_time: f64,
    /// The sum of the times until the answer, in seconds.
    time_s: f64,
}

impl Outcome {
    fn served(&self) -> f64 {
        self.served / self.requests
    }

    fn in_time(&self) -> f64 {
        self.in_time / self.requests
    }
}

fn entry(class: Class, now: Instant) -> Entry {
    let objective = now + class.objective;
    let deadline = now + class.deadline;
    Entry {
        priority: class.priority,
        arrived: now,
        objective,
        deadline,
        wait_until: objective.min(deadline) - class.work,
        work: class.work,
    }
}

/// Plays a load for `time` and returns what became of the requests of each class.
///
/// Arrivals are a Poisson process; the work of a request varies from half to one and a half of its usual work.
fn simulate(
    policy: Policy,
    time: Duration,
    classes: impl Fn(Duration) -> Vec<Class>,
    seed: u64,
) -> Vec<Outcome> {
    let start = Instant::now();
    let mut random = StdRng::seed_from_u64(seed);
    let mut schedule = match policy {
        Policy::Fifo => Schedule::new(usize::MAX),
        _ => Schedule::default(),
    };
    let mut outcomes = vec![Outcome::default(); classes(Duration::ZERO).len()];
    let mut waiting: HashMap<Ticket, (usize, Entry)> = HashMap::new();
    let mut fifo: Vec<(usize, Entry)> = Vec::new();
    let mut running: Vec<(Instant, Duration)> = Vec::new();
    let mut now = start;
    while now < start + time {
        now += MS;
        let ended = running.extract_if(.., |(end, _)| *end <= now);
        for (_, work) in ended.collect::<Vec<_>>() {
            schedule.record_release(work, now);
        }
        let mut begin = |index: usize, entry: &Entry, random: &mut StdRng, running: &mut Vec<_>| {
            let end = now + entry.work.mul_f64(random.random_range(0.5..1.5));
            running.push((end, entry.work));
            let outcome: &mut Outcome = &mut outcomes[index];
            outcome.time_s += (end - entry.arrived).as_secs_f64();
            outcome.served += f64::from(u8::from(end <= entry.deadline));
            outcome.in_time += f64::from(u8::from(end <= entry.objective));
        };
        let mut arrivals = vec![0.0; outcomes_len(&classes)];
        for (index, class) in classes(now - start).into_iter().enumerate() {
            if random.random_range(0.0..1.0) >= class.rate / 1_000.0 {
                continue;
            }
            arrivals[index] += 1.0;
            let entry = entry(class, now);
            let is_free = running.len() < PERMITS as usize;
            match policy {
                Policy::Immediate if is_free => begin(index, &entry, &mut random, &mut running),
                Policy::Immediate => {}
                Policy::Fifo => fifo.push((index, entry)),
                Policy::Scheduled if is_free && schedule.is_empty() => {
                    schedule.record_served(entry.priority, now);
                    begin(index, &entry, &mut random, &mut running);
                }
                Policy::Scheduled => {
                    if let Ok(Queued { ticket, dropped }) = schedule.enqueue(entry, PERMITS, now) {
                        waiting.insert(ticket, (index, entry));
                        dropped.and_then(|ticket| waiting.remove(&ticket));
                    }
                }
            }
        }
        fifo.retain(|(_, entry)| now <= entry.wait_until);
        let late: Vec<_> = waiting
            .iter()
            .filter(|(_, (_, entry))| now > entry.wait_until)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in late {
            schedule.remove(ticket);
            waiting.remove(&ticket);
        }
        while running.len() < PERMITS as usize {
            if let Some(ticket) = schedule.next(&[], now) {
                schedule.serve(ticket, now);
                let (index, entry) = waiting.remove(&ticket).unwrap();
                begin(index, &entry, &mut random, &mut running);
            } else if !fifo.is_empty() {
                let (index, entry) = fifo.remove(0);
                begin(index, &entry, &mut random, &mut running);
            } else {
                break;
            }
        }
        for (outcome, arrivals) in outcomes.iter_mut().zip(arrivals) {
            outcome.requests += arrivals;
        }
    }
    outcomes
}

fn outcomes_len(classes: &impl Fn(Duration) -> Vec<Class>) -> usize {
    classes(Duration::ZERO).len()
}

/// Returns classes whose requests together need `load` times the capacity, in equal parts by number.
fn mixed(load: f64, classes: &[Class]) -> Vec<Class> {
    let work_s: f64 = classes.iter().map(|class| class.work.as_secs_f64()).sum();
    let rate = load * f64::from(PERMITS) / work_s;
    classes
        .iter()
        .map(|class| Class { rate, ..*class })
        .collect()
}

fn served(outcomes: &[Outcome]) -> f64 {
    let served: f64 = outcomes.iter().map(|one| one.served).sum();
    served / outcomes.iter().map(|one| one.requests).sum::<f64>()
}

fn report(name: &str, outcomes: &[Outcome]) {
    for (index, one) in outcomes.iter().enumerate() {
        println!(
            "{name} class {index}: {} requests, served {:.3}, in time {:.3}, mean {:.0} ms",
            one.requests,
            one.served(),
            one.in_time(),
            1_000.0 * one.time_s / one.served.max(1.0),
        );
    }
}

/// 75 ms at priority 1 beside 470 ms at priority 2, at 1.5 times the capacity for 120 s.
///
/// Guards against urgent short requests that are refused or late because of long ones that matter less.
#[test]
fn urgent_short_requests_lose_almost_nothing_under_overload() {
    let load = |_| mixed(1.5, &[SHORT, LONG]);
    let time = Duration::from_secs(120);
    let [immediate, fifo, scheduled] =
        [Policy::Immediate, Policy::Fifo, Policy::Scheduled].map(|policy| {
            let outcomes = simulate(policy, time, load, 1);
            report(&format!("{policy:?}"), &outcomes);
            outcomes
        });
    assert!(scheduled[0].in_time() > 0.97, "{scheduled:?}");
    assert!(served(&scheduled) > served(&immediate), "{scheduled:?}");
    assert!(served(&scheduled) > served(&fifo), "{scheduled:?}");
    assert!(
        scheduled[1].served() >= 0.25 * served(&scheduled),
        "{scheduled:?}"
    );
}

/// Half the capacity, and three times the capacity for 4 s of every 20 s.
///
/// Guards against refusals of what could wait until the burst is over, and of urgent requests in it.
#[test]
fn burst_costs_long_requests_only() {
    let load = |time: Duration| {
        let is_burst = time.as_secs() % 20 >= 16;
        mixed(if is_burst { 3.0 } else { 0.5 }, &[SHORT, LONG])
    };
    let time = Duration::from_secs(200);
    let [immediate, scheduled] = [Policy::Immediate, Policy::Scheduled].map(|policy| {
        let outcomes = simulate(policy, time, load, 2);
        report(&format!("{policy:?}"), &outcomes);
        outcomes
    });
    assert!(scheduled[0].in_time() > 0.95, "{scheduled:?}");
    assert!(
        scheduled[1].served() > immediate[1].served(),
        "{scheduled:?}"
    );
}

/// One class at several loads.
///
/// Guards against a loss for services whose requests are all alike: the order must do as well as that of arrival.
#[test_case(0.8)]
#[test_case(1.0)]
#[test_case(1.5)]
fn one_class_is_served_as_in_order_of_arrival(factor: f64) {
    let load = |_| mixed(factor, &[SHORT]);
    let time = Duration::from_secs(120);
    let [fifo, scheduled] = [Policy::Fifo, Policy::Scheduled].map(|policy| {
        let outcomes = simulate(policy, time, load, 3);
        report(&format!("{policy:?}"), &outcomes);
        outcomes
    });
    assert!(
        scheduled[0].in_time() >= fifo[0].in_time() - 0.01,
        "{scheduled:?}"
    );
}

/// An urgent class that takes more than the capacity alone, beside a less urgent one, for 120 s.
///
/// Guards against starvation: each class is served at least a quarter as often as all, and the more urgent one not less
/// often than the other.
#[test_case(SHORT, Class { priority: 5, ..SHORT }; "equal work")]
#[test_case(SHORT, LONG; "longer work")]
#[test_case(LONG, Class { priority: 3, ..SHORT }; "shorter work")]
fn no_class_is_starved_under_permanent_overload(urgent: Class, other: Class) {
    let urgent = mixed(1.6, &[urgent])[0];
    let rate = 0.3 * urgent.rate;
    let load = |_| vec![urgent, Class { rate, ..other }];
    let outcomes = simulate(Policy::Scheduled, Duration::from_secs(120), load, 4);
    report("Scheduled", &outcomes);
    assert!(
        outcomes[1].served() >= 0.25 * served(&outcomes),
        "{outcomes:?}"
    );
    assert!(
        outcomes[0].served() >= outcomes[1].served() * 0.95,
        "{outcomes:?}"
    );
}

fn tickets(schedule: &mut Schedule, entries: &[Entry], now: Instant) -> Vec<Ticket> {
    let entries = entries.iter();
    let queued = entries.map(|entry| schedule.enqueue(*entry, PERMITS, now).unwrap().ticket);
    queued.collect()
}

/// Guards against another order than the one that is documented.
#[test]
fn permits_go_by_priority_then_deadline_then_work() {
    let now = Instant::now();
    let mut schedule = Schedule::default();
    let late = Entry {
        objective: now,
        ..entry(SHORT, now)
    };
    let later = Entry {
        deadline: now + Duration::from_secs(2),
        ..entry(SHORT, now)
    };
    let shorter = Entry {
        work: Duration::from_millis(40),
        ..later
    };
    let entries = [entry(LONG, now), late, later, shorter, entry(SHORT, now)];
    let known = tickets(&mut schedule, &entries, now);
    let mut order = Vec::new();
    while let Some(ticket) = schedule.next(&[], now) {
        schedule.serve(ticket, now);
        order.push(known.iter().position(|one| *one == ticket).unwrap());
    }
    assert_eq!(order, [4, 3, 2, 1, 0]);
}

/// Guards against permits for requests whose answer comes after the deadline.
#[test]
fn hopeless_requests_leave() {
    let now = Instant::now();
    let mut schedule = Schedule::default();
    let known = tickets(&mut schedule, &[entry(SHORT, now), entry(LONG, now)], now);
    let then = now + Duration::from_millis(950);
    assert_eq!(schedule.take_infeasible(then), [known[0]]);
    assert_eq!(schedule.next(&[], then), Some(known[1]));
    let hopeless = Entry {
        deadline: then + MS,
        ..entry(SHORT, then)
    };
    let refused = schedule.enqueue(hopeless, PERMITS, then).unwrap_err();
    assert_eq!(refused.cause, Cause::Infeasible);
}

/// Guards against a queue that grows without bound, and against the loss of what is worth most from a full one.
#[test]
fn full_queue_drops_the_least_value_for_its_work() {
    let now = Instant::now();
    let patient = Class {
        objective: Duration::from_secs(60),
        deadline: Duration::from_secs(60),
        ..LONG
    };
    let mut schedule = Schedule::new(3);
    let known = tickets(&mut schedule, &[entry(patient, now); 3], now);
    let short = entry(SHORT, now);
    for _ in 0..3 {
        let queued = schedule.enqueue(short, PERMITS, now).unwrap();
        assert!(queued.dropped.is_some_and(|ticket| known.contains(&ticket)));
    }
    assert_eq!(schedule.len(), 3);
    let refused = schedule
        .enqueue(entry(patient, now), PERMITS, now)
        .unwrap_err();
    assert_eq!(refused.cause, Cause::FullQueue);
}

/// Guards against callers that wait in vain, and against a time to retry that has nothing to do with the load.
#[test]
fn request_that_would_wait_for_too_long_is_refused_on_arrival() {
    let start = Instant::now();
    let mut schedule = Schedule::default();
    let patient = Class {
        objective: Duration::from_secs(60),
        deadline: Duration::from_secs(60),
        ..SHORT
    };
    tickets(&mut schedule, &[entry(patient, start); 100], start);
    // Two requests end in each 75 ms, though more permits are in use.
    let mut now = start;
    for _ in 0..20 {
        now += Duration::from_millis(75);
        schedule.record_release(SHORT.work, now);
        schedule.record_release(SHORT.work, now);
    }
    let urgent = Entry {
        priority: 0,
        ..entry(SHORT, now)
    };
    assert!(schedule.enqueue(urgent, PERMITS, now).is_ok());
    let Refused { cause, wait } = schedule
        .enqueue(entry(SHORT, now + MS), PERMITS, now + MS)
        .err()
        .unwrap_or_else(|| {
            schedule
                .enqueue(
                    entry(
                        Class {
                            priority: 9,
                            ..SHORT
                        },
                        now,
                    ),
                    PERMITS,
                    now,
                )
                .unwrap_err()
        });
    assert_eq!(cause, Cause::ExpectedWait);
    // 7.5 s of work is queued, 2 s of which end in a second.
    assert!((3.2..4.4).contains(&wait.as_secs_f64()), "{wait:?}");
}

/// Guards against refusals by a pace that nobody measures any more: no request is queued, as all are refused on arrival.
#[test]
fn slow_pace_is_forgotten_once_nothing_is_queued() {
    let start = Instant::now();
    let mut schedule = Schedule::default();
    let patient = Class {
        objective: Duration::from_secs(60),
        deadline: Duration::from_secs(60),
        ..SHORT
    };
    let known = tickets(&mut schedule, &[entry(patient, start); 4], start);
    let mut now = start;
    for ticket in known {
        now += Duration::from_secs(2);
        schedule.record_release(SHORT.work, now);
        schedule.serve(ticket, now);
    }
    let refused = schedule.enqueue(entry(SHORT, now), PERMITS, now);
    assert_eq!(refused.unwrap_err().cause, Cause::ExpectedWait);
    now += Duration::from_millis(400);
    assert!(schedule.enqueue(entry(SHORT, now), PERMITS, now).is_ok());
}

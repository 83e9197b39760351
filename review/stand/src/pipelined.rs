//! A faulty server breaks off an answer, and requests that wait behind it on their connection get none.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Connection,
    world::{World, get},
};

const GROUPS: usize = 60;

/// The requests that are sent at once on a connection.
const GROUP: usize = 6;

/// How long requests work, in milliseconds.
const FIRST_MS: u64 = 100;
const WORK_MS: u64 = 300;

/// The most requests that a machine may pass on to sound servers and leave unanswered.
const LOST_MAX: usize = 3;

/// The largest share of its answers that the faulty server breaks off.
const BROKEN_SHARE: f64 = 0.05;

/// Returns whether the rule was broken.
pub fn play(case: &Path, has_trouble: bool) -> bool {
    let routes = [("stock", "idempotent", "calendar", "800ms", "2500ms")];
    let world = World::start(case, &[("calendar", false, 3)], &routes, 2);
    world.wait_served("stock", &[0]);
    let faulty = &world.servers[0];
    if has_trouble {
        faulty.break_off(BROKEN_SHARE);
        world.record.say(&format!("server {} is faulty", faulty.id));
    }
    let daemon = &world.daemons[0];
    let mut lost = Vec::new();
    let started_at = Instant::now();
    for group in 0..GROUPS {
        let mut connection = Connection::open(daemon.front()).unwrap();
        let before = get("stock", 5, &format!("kept-{group}"), 0, 2_500);
        let answer = connection.exchange(&before, Duration::from_secs(3));
        assert!(matches!(answer, Ok(Some(answer)) if answer.status() == 200));
        let id = |number: usize| format!("group-{group}-{number}");
        let work = |number: usize| if number == 0 { FIRST_MS } else { WORK_MS };
        let requests = (0..GROUP).map(|number| get("stock", work(number), &id(number), 0, 2_500));
        let requests: Vec<u8> = requests.flatten().collect();
        connection.send(&requests).unwrap();
        for number in 0..GROUP {
            let answer = connection.receive(Duration::from_secs(4)).ok().flatten();
            match answer {
                Some(answer) if answer.is_whole => {}
                _ => {
                    world.record.say(&format!(
                        "{}: no whole answer, the connection ends",
                        id(number)
                    ));
                    thread::sleep(Duration::from_millis(50));
                    lost.extend((number + 1..GROUP).map(id));
                    break;
                }
            }
        }
        let is_enough = started_at.elapsed() > Duration::from_secs(60);
        if is_enough {
            break;
        }
    }
    let (answered, broken) = faulty.answers();
    world.record.say(&format!(
        "the faulty server broke {broken} of {answered} answers off"
    ));
    assert!(
        broken as f64 <= BROKEN_SHARE * answered as f64,
        "too many were broken off"
    );
    let at_sound = lost.iter().filter(|id| {
        let runs = world.runs_of(id);
        !runs.is_empty() && !runs.contains(&faulty.id)
    });
    let at_sound: Vec<_> = at_sound.collect();
    world.record.say(&format!(
        "{} requests were passed on to sound servers and have no answer: {at_sound:?}",
        at_sound.len()
    ));
    let is_broken = at_sound.len() > LOST_MAX;
    world.record.say(if is_broken {
        "LOST is broken"
    } else {
        "LOST holds"
    });
    is_broken
}

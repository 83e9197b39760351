//! A faulty server writes an earlier answer to an order once more, where the answer to a release is due.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::world::{World, ask, get};

/// The work of a request for `cabin-log` that takes long, in milliseconds.
const WORK_MS: u64 = 2_400;

/// The share of its answers to orders that the faulty server writes twice.
const AGAIN_SHARE: f64 = 0.03;

/// Grants that arrive so shortly before a hold runs out are not counted.
const MARGIN: Duration = Duration::from_millis(300);

/// Returns whether the rule was broken.
pub fn play(case: &Path, has_trouble: bool) -> bool {
    let routes = [
        ("stock", "idempotent", "planificare", "800ms", "2500ms"),
        ("log", "idempotent", "planificare", "1200ms", "4000ms"),
    ];
    let world = World::start(case, &[("planificare", true, 4)], &routes, 2);
    world.wait_served("stock", &(0..65_536).step_by(9_973).collect::<Vec<u64>>());
    let started_at = Instant::now();
    let leaving = loop {
        assert!(
            started_at.elapsed() < Duration::from_secs(40),
            "few orders arrive"
        );
        thread::sleep(Duration::from_millis(100));
        let most = world
            .servers
            .iter()
            .max_by_key(|server| server.orders().0)
            .unwrap();
        if most.orders().0 >= 60 {
            break most.clone();
        }
    };
    let key = leaving.lowest_key().expect("the server holds no key");
    world.record.say(&format!(
        "server {} holds key {key} and is to leave",
        leaving.id
    ));
    if has_trouble {
        leaving.repeat_answers(AGAIN_SHARE);
    }
    let to = world.daemons[0].front();
    let request = get("log", WORK_MS, "long", key, 8_000);
    let long = thread::spawn(move || ask(to, &request, Duration::from_secs(9)));
    thread::sleep(Duration::from_millis(300));
    leaving.drain(&world.store);
    world
        .record
        .say(&format!("server {} says that it leaves", leaving.id));
    for number in 0..22 {
        thread::sleep(Duration::from_millis(100));
        let request = get("stock", 20, &format!("short-{number}"), key, 1_000);
        let answer = ask(world.daemons[1].front(), &request, Duration::from_secs(2));
        let status = answer.map(|answer| answer.status());
        world
            .record
            .say(&format!("the client gets {status:?} for short-{number}"));
    }
    let status = long.join().unwrap().map(|answer| answer.status());
    world
        .record
        .say(&format!("the client gets {status:?} for long"));
    let (answered, again) = leaving.orders();
    world.record.say(&format!(
        "{again} of {answered} answers to orders were written again"
    ));
    assert!(
        again as f64 <= AGAIN_SHARE * answered as f64,
        "too many were written again"
    );
    let worked = leaving
        .worked("long")
        .expect("the long request did not run");
    let hold_ends = leaving.hold_ended(key).expect("the key was not released");
    let mut is_broken = false;
    for other in world.servers.iter().filter(|one| one.id != leaving.id) {
        for (at, fence) in other.grants_of(key) {
            let is_at_work = worked.0 < at && at < worked.1;
            if is_at_work && at + MARGIN < hold_ends {
                is_broken = true;
                world.record.say(&format!(
                    "server {} was given key {key} under fence {fence}, {} ms before server {} had done its work on it, \
                     and {} ms before that one's hold had run out",
                    other.id,
                    (worked.1 - at).as_millis(),
                    leaving.id,
                    (hold_ends - at).as_millis(),
                ));
            }
        }
    }
    world.record.say(if is_broken {
        "OWNER is broken"
    } else {
        "OWNER holds"
    });
    is_broken
}

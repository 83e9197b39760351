//! A daemon stops while it waits for the answer to a request that it has sent through another daemon.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Connection,
    world::{World, ask, get, post},
};

const SERVICES: [(&str, bool, usize); 1] = [("planificare", true, 5)];

/// The largest work of `reserve` on the small site, in milliseconds, and how much slower a slow server is.
const WORK_MS: u64 = 940;
const SLOW: u64 = 4;

/// The longest cut of a server that the site has.
const CUT_MAX: Duration = Duration::from_secs(10);

/// How long after SIGTERM the request is sent, on a connection that has been open since before.
const SENT_AFTER: Duration = Duration::from_millis(2_200);

const DEADLINE_MS: u64 = 4_000;

/// Returns whether the rule was broken.
pub fn play(case: &Path, has_trouble: bool) -> bool {
    let routes = [
        ("stock", "idempotent", "planificare", "800ms", "2500ms"),
        (
            "reserve",
            "non_idempotent",
            "planificare",
            "500ms",
            "4000ms",
        ),
    ];
    let mut world = World::start(case, &SERVICES, &routes, 4);
    let keys: Vec<u64> = (0..65_536).step_by(9_973).collect();
    world.wait_served("stock", &keys);
    let stopping = world.follower();
    let body = vec![b'r'; 4_000];
    let daemon = &world.daemons[stopping];
    world
        .record
        .say(&format!("{} is to be stopped", daemon.name));
    for (number, key) in keys.iter().enumerate() {
        // The daemon learns how long such requests take.
        let request = post(
            "reserve",
            160,
            &format!("before-{number}"),
            *key,
            DEADLINE_MS,
            &body,
        );
        let answer = ask(daemon.front(), &request, Duration::from_secs(5));
        assert_eq!(answer.map(|answer| answer.status()), Some(200));
    }
    // Keys that move have moved after that.
    thread::sleep(Duration::from_secs(3));
    let holder = world.servers.iter().find(|server| server.holds(30_000));
    let holder = holder.expect("nobody holds the key").clone();
    let held = || {
        (0..65_536)
            .find(|key| holder.holds(*key))
            .expect("the server holds no key")
    };
    let cut_at = Instant::now();
    if has_trouble {
        holder.cut(daemon.child.id());
        world
            .record
            .say(&format!("{} loses the path to {}", daemon.name, holder.id));
    }
    let mut connection = Connection::open(daemon.front()).unwrap();
    for number in 0.. {
        let request = get("stock", 5, &format!("cut-{number}"), held(), 2_000);
        let answer = connection.exchange(&request, Duration::from_secs(3));
        let answer = answer.unwrap().expect("no answer");
        world.record.say(&format!(
            "the client gets {} for cut-{number}",
            answer.status()
        ));
        if answer.status() == 200 && cut_at.elapsed() > Duration::from_secs(1) {
            break;
        }
        assert!(
            cut_at.elapsed() < Duration::from_secs(4),
            "the key is not served"
        );
        thread::sleep(Duration::from_millis(100));
    }
    daemon.signal("-TERM");
    let stopped_at = Instant::now();
    world.record.say(&format!("SIGTERM to {}", daemon.name));
    thread::sleep(SENT_AFTER);
    let (id, key) = ("booking-1", held());
    world
        .record
        .say(&format!("server {} holds key {key}", holder.id));
    let request = post("reserve", WORK_MS * SLOW, id, key, DEADLINE_MS, &body);
    connection.send(&request).unwrap();
    world.record.say(&format!(
        "{id} is sent to {} on its open connection",
        daemon.name
    ));
    let answer = connection.receive(Duration::from_secs(6));
    let since = stopped_at.elapsed().as_millis();
    let status = answer.ok().flatten().map(|answer| answer.status());
    let text = format!("the client gets {status:?} for {id}, {since} ms after SIGTERM");
    world.record.say(&text);
    assert!(cut_at.elapsed() < CUT_MAX, "the cut lasted for too long");
    // What runs later counts too.
    thread::sleep(Duration::from_secs(2));
    let runs = world.runs_of(id);
    world.record.say(&format!("{id} ran at {runs:?}"));
    let is_promised = matches!(status, Some(408 | 421 | 429 | 503));
    let is_broken = is_promised && !runs.is_empty();
    if is_broken {
        // A sound client takes the promise for granted.
        let other = (stopping + 1) % world.daemons.len();
        let request = post("reserve", 160, "booking-2", key, DEADLINE_MS, &body);
        let answer = ask(
            world.daemons[other].front(),
            &request,
            Duration::from_secs(5),
        );
        let status = answer.map(|answer| answer.status());
        let runs = world.runs_of("booking-2");
        world.record.say(&format!(
            "the client books again: {status:?}, ran at {runs:?}"
        ));
    }
    world.record.say(if is_broken {
        "REFUSED is broken"
    } else {
        "REFUSED holds"
    });
    world.daemons.clear();
    is_broken
}

//! Faulty servers write some of their answers once more, where the next answer on the connection is due. Among them is
//! the refusal of a health check, behind which a booking is sent.

use std::{
    collections::{BTreeMap, HashMap},
    env, fs,
    net::SocketAddr,
    path::Path,
    process,
    sync::{Arc, Mutex},
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

use crate::{
    daemon::{self, Daemon},
    http::Connection,
    names::{fill, n},
    record::Record,
    server::Server,
    store::Store,
};

const SERVICE: &str = "promessa";
const SERVERS: usize = 5;
const DAEMONS: usize = 8;

/// The number of faulty servers, and the share of its answers that each writes twice while it is faulty.
const FAULTY: usize = 3;
const AGAIN_SHARE: f64 = 0.03;

/// How long servers are faulty and sound, by turns.
const FAULTY_TIME: Duration = Duration::from_secs(5);
const SOUND_TIME: Duration = Duration::from_secs(4);

/// Clients that book, one booking after the other, and for how long.
const CLIENTS: usize = 190;
const TIME: Duration = Duration::from_secs(80);

/// How long a client waits before its next booking.
const PAUSE: Duration = Duration::from_millis(40);

const DEADLINE_MS: u64 = 2_000;

/// The body of a booking.
const BODY: &str = "a pledge of 20";

/// The statuses that clients got, by the ids of their bookings.
type Answers = Arc<Mutex<HashMap<String, Option<u16>>>>;

/// Returns whether a rule was broken.
pub fn play(case: &Path, has_trouble: bool) -> bool {
    let record = Arc::new(Record::new(&case.join("record.txt")));
    let folder = env::temp_dir().join(format!("review-2-{}", process::id()));
    fs::create_dir_all(&folder).unwrap();
    let (store, address) = Store::start();
    store.write(n("operator"), "config", &configuration());
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|number| Server::start(&format!("i-{number}"), SERVICE, &store, &record))
        .collect();
    let daemons = daemon::start(DAEMONS, address, &folder);
    record.say("all daemons are ready");
    if has_trouble {
        let (servers, record) = (servers.clone(), record.clone());
        spawn(move || alternate(&servers[..FAULTY], &record));
    }
    let answers = book(&daemons);
    // What runs later counts too.
    sleep(Duration::from_secs(3));
    drop(daemons);
    let _ = fs::remove_dir_all(&folder);
    judge(&servers, &answers.lock().unwrap(), &record)
}

/// Makes servers sound and faulty by turns, without end.
fn alternate(servers: &[Arc<Server>], record: &Record) {
    let say = |what| record.say(&format!("the first {FAULTY} servers are {what}"));
    loop {
        sleep(SOUND_TIME);
        servers
            .iter()
            .for_each(|server| server.write_again(AGAIN_SHARE));
        say("faulty");
        sleep(FAULTY_TIME);
        servers.iter().for_each(|server| server.write_again(0.0));
        say("sound");
    }
}

/// Has all clients book, and returns the answers.
fn book(daemons: &[Daemon]) -> Answers {
    let answers = Answers::default();
    let started_at = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let to = daemons[client % daemons.len()].front();
            let answers = answers.clone();
            spawn(move || {
                for number in 0.. {
                    if started_at.elapsed() > TIME {
                        break;
                    }
                    sleep(PAUSE);
                    let id = format!("booking-{client}-{number}");
                    let work = 6 + (client * 7 + number * 13) % 13;
                    let status = ask(to, &id, work);
                    answers.lock().unwrap().insert(id, status);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().unwrap();
    }
    answers
}

/// Books once, on a connection of its own; returns the status of the answer, if there is one.
fn ask(to: SocketAddr, id: &str, work_ms: usize) -> Option<u16> {
    let (id_name, deadline_name) = (n("request-id"), n("deadline"));
    let request = format!(
        "POST /pledge/{work_ms}/x HTTP/1.1\r\nhost: app.example\r\n{id_name}: {id}\r\n\
         {deadline_name}: {DEADLINE_MS}\r\ncontent-length: {}\r\n\r\n{BODY}",
        BODY.len()
    );
    let mut connection = Connection::open(to).ok()?;
    let answer = connection.exchange(request.as_bytes(), Duration::from_secs(3));
    Some(answer.ok()??.status())
}

/// Returns whether a booking has run twice, or has run though its client was told that it has not.
fn judge(servers: &[Arc<Server>], answers: &HashMap<String, Option<u16>>, record: &Record) -> bool {
    let mut runs: HashMap<String, Vec<&str>> = HashMap::new();
    for server in servers {
        let counts = server.counts();
        record.say(&format!("server {}: {counts:?}", server.id));
        assert!(
            counts.again as f64 <= AGAIN_SHARE * counts.faulty_answers as f64,
            "too many were written again"
        );
        for id in server.runs() {
            runs.entry(id).or_default().push(&server.id);
        }
    }
    let mut totals: BTreeMap<(Option<u16>, usize), usize> = BTreeMap::new();
    for (id, status) in answers {
        let count = runs.get(id).map_or(0, Vec::len);
        *totals.entry((*status, count)).or_default() += 1;
    }
    record.say(&format!("{} bookings were sent", answers.len()));
    for ((status, count), bookings) in totals {
        let status = status.map_or("no answer".to_owned(), |status| status.to_string());
        record.say(&format!(
            "{bookings} bookings: the client got {status}, ran {count} times"
        ));
    }
    let mut twice: Vec<_> = runs.iter().filter(|(_, at)| at.len() > 1).collect();
    twice.sort();
    for (id, at) in &twice {
        record.say(&format!("{id} has run at {at:?}"));
    }
    let is_promised = |id: &str| matches!(answers.get(id), Some(Some(408 | 421 | 429 | 503)));
    let mut refused: Vec<_> = runs.iter().filter(|(id, _)| is_promised(id)).collect();
    refused.sort();
    for (id, at) in &refused {
        let status = answers.get(*id);
        record.say(&format!(
            "{id} was answered {status:?} and has run at {at:?}"
        ));
    }
    let text = format!(
        "{} bookings ran: {} of them more than once, {} of them refused",
        runs.len(),
        twice.len(),
        refused.len()
    );
    record.say(&text);
    assert!(runs.len() > CLIENTS, "few bookings ran");
    let is_broken = !twice.is_empty() || !refused.is_empty();
    record.say(match (twice.is_empty(), refused.is_empty()) {
        (true, true) => "TWICE and REFUSED hold",
        (false, true) => "TWICE is broken",
        (true, false) => "REFUSED is broken",
        (false, false) => "TWICE and REFUSED are broken",
    });
    is_broken
}

fn configuration() -> String {
    let values = [
        ("prefix", "pledge"),
        ("kind", "non_idempotent"),
        ("service", SERVICE),
        ("aim", "1200ms"),
        ("timeout", "2000ms"),
    ];
    let rule = fill(include_str!("../data/rule.json"), &values);
    let cluster = fill(
        include_str!("../data/cluster.json"),
        &[("service", SERVICE)],
    );
    let values = [("version", "2"), ("rules", &*rule), ("clusters", &*cluster)];
    fill(include_str!("../data/config.json"), &values)
}

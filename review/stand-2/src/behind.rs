//! Faulty servers break a few of their long answers off, and requests behind these on their clients' connections get no
//! answer, though sound servers work on them.

use std::{
    collections::HashMap,
    env, fs,
    net::SocketAddr,
    path::Path,
    process,
    sync::{Arc, Mutex},
    thread::{sleep, spawn},
    time::Duration,
};

use crate::{
    daemon,
    downloads::Server,
    http::Connection,
    names::{fill, n},
    record::Record,
    store::Store,
};

const SERVICE: &str = "recibos";
const SERVERS: usize = 4;
const DAEMONS: usize = 2;

/// The number of faulty servers, and the share of its answers that each breaks off while it is faulty.
const FAULTY: usize = 2;
const BROKEN_SHARE: f64 = 0.02;

/// How long servers are faulty and sound, by turns.
const FAULTY_TIME: Duration = Duration::from_secs(5);
const SOUND_TIME: Duration = Duration::from_secs(4);

/// Clients, and how often each sends requests at once on a connection that it has used before.
const CLIENTS: usize = 8;
const GROUPS: usize = 110;

/// The requests that are sent at once.
const GROUP: usize = 6;

/// The work of a request in milliseconds, and the length of its answer.
const WORK_MS: usize = 170;
const BYTES: usize = 180_000;

const DEADLINE_MS: u64 = 6_000;

/// The most requests that a machine may pass on to sound servers and leave unanswered.
const LOST_MAX: usize = 3;

/// Returns whether the rule was broken.
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
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let machine = client % DAEMONS;
            let to = daemons[machine].front();
            let (unanswered, record) = (unanswered.clone(), record.clone());
            spawn(move || {
                for group in 0..GROUPS {
                    let lost = ask_group(to, client, group, &record);
                    let lost = lost.into_iter().map(|id| (machine, id));
                    unanswered.lock().unwrap().extend(lost);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().unwrap();
    }
    sleep(Duration::from_secs(2));
    drop(daemons);
    let _ = fs::remove_dir_all(&folder);
    let unanswered = unanswered.lock().unwrap();
    judge(&servers, &unanswered, &record)
}

/// Makes servers sound and faulty by turns, without end.
fn alternate(servers: &[Arc<Server>], record: &Record) {
    let say = |what| record.say(&format!("the first {FAULTY} servers are {what}"));
    loop {
        sleep(SOUND_TIME);
        servers
            .iter()
            .for_each(|server| server.break_off(BROKEN_SHARE));
        say("faulty");
        sleep(FAULTY_TIME);
        servers.iter().for_each(|server| server.break_off(0.0));
        say("sound");
    }
}

/// Sends requests at once on a used connection; returns those behind the one at which the connection ended.
fn ask_group(to: SocketAddr, client: usize, group: usize, record: &Record) -> Vec<String> {
    let id = |number: usize| format!("download-{client}-{group}-{number}");
    let mut connection = Connection::open(to).unwrap();
    let kept = request(&format!("kept-{client}-{group}"), 5, 10);
    let answer = connection.exchange(&kept, Duration::from_secs(7));
    if !matches!(answer, Ok(Some(answer)) if answer.is_whole) {
        return Vec::new();
    }
    let requests = (0..GROUP).map(|number| request(&id(number), WORK_MS, BYTES));
    let requests: Vec<u8> = requests.flatten().collect();
    connection.send(&requests).unwrap();
    let mut statuses = Vec::new();
    let mut lost = Vec::new();
    for number in 0..GROUP {
        let answer = connection.receive(Duration::from_secs(7)).ok().flatten();
        let Some(answer) = answer.filter(|answer| answer.is_whole) else {
            lost = (number + 1..GROUP).map(id).collect();
            break;
        };
        statuses.push(answer.status());
    }
    let rest = if statuses.len() < GROUP {
        ", then the connection ended in an answer or before it"
    } else {
        ""
    };
    record.say(&format!(
        "sent {} to {} at once: {statuses:?}{rest}",
        id(0),
        id(GROUP - 1)
    ));
    lost
}

/// Returns a request that works for `work` milliseconds and is answered with `bytes`.
fn request(id: &str, work: usize, bytes: usize) -> Vec<u8> {
    let (id_name, deadline_name) = (n("request-id"), n("deadline"));
    let text = format!(
        "GET /receipts/{work}/{bytes} HTTP/1.1\r\nhost: app.example\r\n{id_name}: {id}\r\n\
         {deadline_name}: {DEADLINE_MS}\r\n\r\n"
    );
    text.into_bytes()
}

/// Returns whether a machine has passed on too many requests to sound servers that were not answered.
fn judge(servers: &[Arc<Server>], unanswered: &[(usize, String)], record: &Record) -> bool {
    let mut runs: HashMap<String, Vec<usize>> = HashMap::new();
    for (number, server) in servers.iter().enumerate() {
        let (answers, broken) = server.answers();
        record.say(&format!(
            "server {} ran {} requests; broke {broken} of the {answers} answers off that it gave while it was faulty",
            server.id,
            server.runs().len()
        ));
        assert!(
            broken as f64 <= BROKEN_SHARE * answers as f64,
            "too many were broken off"
        );
        for id in server.runs() {
            runs.entry(id).or_default().push(number);
        }
    }
    let mut lost = [0; DAEMONS];
    for (machine, id) in unanswered {
        let at = runs.get(id).map_or(&[][..], Vec::as_slice);
        let is_sound = !at.is_empty() && at.iter().all(|number| *number >= FAULTY);
        record.say(&format!(
            "{id}, sent to machine {machine}, got no answer; ran at {at:?}, at sound servers alone: {is_sound}"
        ));
        lost[*machine] += usize::from(is_sound);
    }
    record.say(&format!(
        "requests that were passed on to sound servers and not answered, by machine: {lost:?}"
    ));
    let is_broken = lost.iter().any(|lost| *lost > LOST_MAX);
    record.say(if is_broken {
        "LOST is broken"
    } else {
        "LOST holds"
    });
    is_broken
}

fn configuration() -> String {
    let values = [
        ("prefix", "receipts"),
        ("kind", "download"),
        ("service", SERVICE),
        ("aim", "3000ms"),
        ("timeout", "6000ms"),
    ];
    let rule = fill(include_str!("../data/rule.json"), &values);
    let cluster = fill(
        include_str!("../data/cluster.json"),
        &[("service", SERVICE)],
    );
    let values = [("version", "2"), ("rules", &*rule), ("clusters", &*cluster)];
    fill(include_str!("../data/config.json"), &values)
}

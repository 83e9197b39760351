//! A small deployment: the store, servers, daemons and clients.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    daemon::{self, Daemon},
    http::{Connection, Message},
    names::{fill, n},
    record::Record,
    store::Store,
    upstream::Upstream,
};

/// How long a deployment may take to serve.
const START_TIME: Duration = Duration::from_secs(30);

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub servers: Vec<Arc<Upstream>>,
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
}

/// A route: its prefix, kind, service, target latency and timeout.
pub type Route<'a> = (&'a str, &'a str, &'a str, &'a str, &'a str);

impl World {
    /// Starts servers (service, whether it has keys, count) and daemons, with these routes in force.
    pub fn start(
        case: &Path,
        services: &[(&str, bool, usize)],
        routes: &[Route<'_>],
        daemons: usize,
    ) -> Self {
        let record = Arc::new(Record::new(&case.join("record.txt")));
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let (store, address) = Store::start();
        store.write(n("operator"), "config", &configuration(2, services, routes));
        let mut servers = Vec::new();
        for (service, is_sharded, count) in services {
            for number in 0..*count {
                let id = format!("i-{service}{number}");
                servers.push(Upstream::start(&id, service, *is_sharded, &store, &record));
            }
        }
        let daemons = daemon::start(
            daemons,
            &["here", "here", "there", "there"],
            address,
            &folder,
        );
        let world = Self {
            record,
            store,
            servers,
            daemons,
            folder,
        };
        world.record.say("started");
        world
    }

    /// Waits until each daemon serves all of these keys of an idempotent route.
    pub fn wait_served(&self, prefix: &str, keys: &[u64]) {
        for daemon in &self.daemons {
            for key in keys {
                self.wait_key(daemon, prefix, *key);
            }
        }
        self.record.say("all daemons serve");
    }

    fn wait_key(&self, daemon: &Daemon, prefix: &str, key: u64) {
        let deadline = Instant::now() + START_TIME;
        let mut number = 0;
        loop {
            number += 1;
            let id = format!("start-{}-{key}-{number}", daemon.name);
            let request = get(prefix, 5, &id, key, 2_000);
            let answer = ask(daemon.front(), &request, Duration::from_secs(3));
            if answer.is_some_and(|answer| answer.status() == 200) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "{} does not serve key {key}",
                daemon.name
            );
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns the index of a daemon that does not lead.
    pub fn follower(&self) -> usize {
        let leader = self.store.newest(n("own"), "lead").unwrap_or_default();
        let leads = |daemon: &Daemon| leader.contains(&daemon.name);
        let found = self.daemons.iter().position(|daemon| !leads(daemon));
        found.expect("all daemons lead")
    }

    /// Returns the servers that have run a request.
    pub fn runs_of(&self, id: &str) -> Vec<String> {
        let runs = self.servers.iter().flat_map(|server| {
            let runs = server.runs().into_iter().filter(|run| run == id);
            runs.map(|_| server.id.clone()).collect::<Vec<_>>()
        });
        runs.collect()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.daemons.clear();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

pub fn configuration(
    version: u32,
    services: &[(&str, bool, usize)],
    routes: &[Route<'_>],
) -> String {
    let rules = routes.iter().map(|(prefix, kind, service, aim, timeout)| {
        let values = [
            ("prefix", *prefix),
            ("kind", kind),
            ("service", service),
            ("aim", aim),
            ("timeout", timeout),
        ];
        fill(include_str!("../data/rule.json"), &values)
    });
    let clusters = services.iter().map(|(service, is_sharded, _)| {
        let sharded = is_sharded.to_string();
        let values = [("service", *service), ("sharded", &sharded)];
        fill(include_str!("../data/cluster.json"), &values)
    });
    let (rules, clusters): (Vec<_>, Vec<_>) = (rules.collect(), clusters.collect());
    let values = [
        ("version", &*version.to_string()),
        ("rules", &rules.join(",")),
        ("clusters", &clusters.join(",")),
    ];
    fill(include_str!("../data/config.json"), &values)
}

/// Returns a request without a body that works for `work` milliseconds.
pub fn get(prefix: &str, work: u64, id: &str, key: u64, deadline: u64) -> Vec<u8> {
    head("GET", prefix, work, id, key, deadline, "").into_bytes()
}

/// Returns a request with a body.
pub fn post(prefix: &str, work: u64, id: &str, key: u64, deadline: u64, body: &[u8]) -> Vec<u8> {
    let length = format!("content-length: {}\r\n", body.len());
    let mut bytes = head("POST", prefix, work, id, key, deadline, &length).into_bytes();
    bytes.extend(body);
    bytes
}

pub fn head(
    method: &str,
    prefix: &str,
    work: u64,
    id: &str,
    key: u64,
    deadline: u64,
    more: &str,
) -> String {
    let (id_name, deadline_name, key_name) = (n("request-id"), n("deadline"), n("key"));
    format!(
        "{method} /{prefix}/{work}/x HTTP/1.1\r\nhost: app.example\r\n{id_name}: {id}\r\n\
         {deadline_name}: {deadline}\r\n{key_name}: {key}\r\n{more}\r\n"
    )
}

/// Sends a request on a connection of its own; `None` if there is no answer.
pub fn ask(to: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let mut connection = Connection::open(to).ok()?;
    connection.exchange(request, limit).ok()?
}

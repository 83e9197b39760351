//! A stand-in for a sound server, with keys or without.
//!
//! A request of `/PREFIX/WORK/...` works for `WORK` milliseconds.

use std::{
    fs,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Handler, Message, Reply},
    names::{fill, n},
    record::Record,
    store::Store,
};

/// How often a server writes its entry.
const BEAT: Duration = Duration::from_millis(870);

const SLOTS: usize = 2;

#[derive(Clone, Copy)]
struct Grant {
    first: u64,
    last: u64,
    fence: u64,
    until: Instant,
}

pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    is_sharded: bool,
    grants: Mutex<Vec<Grant>>,
    /// The keys of the requests that run now.
    running: Mutex<Vec<Option<u64>>>,
    freed: Condvar,
    /// The ids of requests that ran.
    runs: Mutex<Vec<String>>,
    /// The share of answers that the server breaks off, and the answers so far, all and those.
    faulty: Mutex<(f64, usize, usize)>,
    is_draining: AtomicBool,
    /// The share of answers to orders that are written again, all answers, and those that were written again.
    again: Mutex<(f64, usize, usize)>,
    /// The connections on which an order was answered.
    ordered: Mutex<Vec<SocketAddr>>,
    /// The grants that were taken.
    granted: Mutex<Vec<(Instant, Grant)>>,
    /// What was released: the keys, and when their hold would have run out.
    released: Mutex<Vec<Grant>>,
    /// The requests that have run: id, begin and end.
    worked: Mutex<Vec<(String, Instant, Instant)>>,
    /// The processes that do not reach the server, and their open connections here.
    cut: Mutex<Vec<u32>>,
    open: Mutex<Vec<(SocketAddr, TcpStream)>>,
    is_registered: AtomicBool,
    seq: AtomicU64,
    born: u128,
    record: Arc<Record>,
}

impl Upstream {
    pub fn start(
        id: &str,
        service: &str,
        is_sharded: bool,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            service: service.to_owned(),
            is_sharded,
            grants: Mutex::default(),
            running: Mutex::default(),
            freed: Condvar::new(),
            runs: Mutex::default(),
            faulty: Mutex::default(),
            is_draining: AtomicBool::new(false),
            again: Mutex::default(),
            ordered: Mutex::default(),
            granted: Mutex::default(),
            released: Mutex::default(),
            worked: Mutex::default(),
            cut: Mutex::default(),
            open: Mutex::default(),
            is_registered: AtomicBool::new(true),
            seq: AtomicU64::new(0),
            born: now.as_millis(),
            record: record.clone(),
        });
        http::serve(listener, upstream.clone());
        let (beating, store) = (upstream.clone(), store.clone());
        thread::spawn(move || {
            while beating.is_registered.load(Ordering::Relaxed) {
                store.write(n("servers"), &beating.id, &beating.registration());
                thread::sleep(BEAT);
            }
        });
        upstream
    }

    fn registration(&self) -> String {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        let is_draining = self.is_draining.load(Ordering::Relaxed);
        let state = if is_draining { "draining" } else { "ready" };
        fill(
            include_str!("../data/registration.json"),
            &[
                ("service", &self.service),
                ("address", &self.address.to_string()),
                ("zone", "here"),
                ("slots", &SLOTS.to_string()),
                ("state", state),
                ("seq", &seq.to_string()),
                ("born", &self.born.to_string()),
            ],
        )
    }

    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap().clone()
    }

    /// Says in the store that the server leaves.
    pub fn drain(&self, store: &Store) {
        self.is_draining.store(true, Ordering::Relaxed);
        store.write(n("servers"), &self.id, &self.registration());
    }

    /// Returns the number of answers to orders, and of those that were written again.
    pub fn orders(&self) -> (usize, usize) {
        let again = self.again.lock().unwrap();
        (again.1, again.2)
    }

    /// Writes a share of the answers to orders again from now on, where the answer to a release is due.
    pub fn repeat_answers(&self, share: f64) {
        self.again.lock().unwrap().0 = share;
    }

    pub fn lowest_key(&self) -> Option<u64> {
        let now = Instant::now();
        let grants = self.grants.lock().unwrap();
        let held = grants.iter().filter(|grant| now < grant.until);
        held.map(|grant| grant.first).min()
    }

    /// Returns when grants of a key arrived, and their fences.
    pub fn grants_of(&self, key: u64) -> Vec<(Instant, u64)> {
        let granted = self.granted.lock().unwrap();
        let of_key = granted
            .iter()
            .filter(|(_, one)| one.first <= key && key <= one.last);
        of_key.map(|(at, one)| (*at, one.fence)).collect()
    }

    /// Returns when the hold of a key that was released would have run out.
    pub fn hold_ended(&self, key: u64) -> Option<Instant> {
        let released = self.released.lock().unwrap();
        let of_key = released
            .iter()
            .filter(|one| one.first <= key && key <= one.last);
        of_key.map(|one| one.until).max()
    }

    /// Returns when a request began and ended to run.
    pub fn worked(&self, id: &str) -> Option<(Instant, Instant)> {
        let worked = self.worked.lock().unwrap();
        let found = worked.iter().find(|(one, _, _)| one == id);
        found.map(|(_, begin, end)| (*begin, *end))
    }

    /// Writes the answer to an earlier order on a connection again, if it is due.
    fn write_again(&self, request: &Message, peer: SocketAddr) {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let keys = number(&body, n("first"))..=number(&body, n("last"));
        let running = self.running.lock().unwrap().clone();
        // Which answers are written again is a matter of chance; here work on the keys is in progress.
        if !running.iter().flatten().any(|key| keys.contains(key)) {
            return;
        }
        let mut again = self.again.lock().unwrap();
        let is_due = (again.2 + 1) as f64 <= again.0 * again.1 as f64;
        if !is_due || !self.ordered.lock().unwrap().contains(&peer) {
            return;
        }
        let open = self.open.lock().unwrap();
        let Some((_, stream)) = open.iter().find(|(one, _)| *one == peer) else {
            return;
        };
        let mut stream = stream;
        if stream
            .write_all(b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r\n")
            .is_ok()
        {
            again.2 += 1;
            let text = format!(
                "server {} writes an earlier answer to an order again",
                self.id
            );
            self.record.say(&text);
        }
    }

    /// Breaks a share of the answers off from now on.
    pub fn break_off(&self, share: f64) {
        *self.faulty.lock().unwrap() = (share, 0, 0);
    }

    /// Returns the number of answers since then, and of those that were broken off.
    pub fn answers(&self) -> (usize, usize) {
        let faulty = self.faulty.lock().unwrap();
        (faulty.1, faulty.2)
    }

    /// Returns whether the next answer is broken off.
    fn breaks_off(&self, id: &str) -> bool {
        let mut faulty = self.faulty.lock().unwrap();
        faulty.1 += 1;
        // Which answers are broken off is a matter of chance; here others wait behind them.
        let is_early = ["-0", "-1", "-2"].iter().any(|end| id.ends_with(end));
        let is_first = id.starts_with("group-") && is_early;
        let breaks = is_first && (faulty.2 + 1) as f64 <= faulty.0 * faulty.1 as f64;
        faulty.2 += usize::from(breaks);
        breaks
    }

    pub fn holds(&self, key: u64) -> bool {
        let now = Instant::now();
        let grants = self.grants.lock().unwrap();
        grants
            .iter()
            .any(|grant| grant.first <= key && key <= grant.last && now < grant.until)
    }

    /// Cuts a process off: its connections are reset, and new ones too.
    pub fn cut(&self, process: u32) {
        self.cut.lock().unwrap().push(process);
        for (peer, stream) in self.open.lock().unwrap().drain(..) {
            if holds_socket(process, peer) {
                reset(&stream);
            }
        }
    }

    fn grant(&self, request: &Message) -> Reply {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let hold = text(&body, n("hold")).unwrap_or_default();
        let hold = hold.trim_end_matches("ms").parse().unwrap_or(0);
        let grant = Grant {
            first: number(&body, n("first")),
            last: number(&body, n("last")),
            fence: number(&body, "fence"),
            until: Instant::now() + Duration::from_millis(hold),
        };
        let mut grants = self.grants.lock().unwrap();
        let overlaps = |held: &Grant| held.first <= grant.last && grant.first <= held.last;
        if grants
            .iter()
            .any(|held| overlaps(held) && held.fence > grant.fence)
        {
            return Reply::new(409, "");
        }
        let before = std::mem::take(&mut *grants);
        *grants = before
            .into_iter()
            .flat_map(|held| without(held, grant.first, grant.last))
            .collect();
        grants.push(grant);
        self.granted.lock().unwrap().push((Instant::now(), grant));
        Reply::new(200, "")
    }

    fn release(&self, request: &Message) -> Reply {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let (first, last) = (number(&body, n("first")), number(&body, n("last")));
        let mut grants = self.grants.lock().unwrap();
        let before = std::mem::take(&mut *grants);
        let overlaps = |held: &&Grant| held.first <= last && first <= held.last;
        let released: Vec<Grant> = before.iter().filter(overlaps).copied().collect();
        self.released.lock().unwrap().extend(released);
        *grants = before
            .into_iter()
            .flat_map(|held| without(held, first, last))
            .collect();
        drop(grants);
        let text = format!("server {} is to release {first} to {last}", self.id);
        self.record.say(&text);
        // Work on these keys has to end before.
        let is_at_work = |running: &Vec<Option<u64>>| {
            let mut keys = running.iter().flatten();
            keys.any(|key| first <= *key && *key <= last)
        };
        let mut running = self.running.lock().unwrap();
        while is_at_work(&running) {
            running = self.freed.wait(running).unwrap();
        }
        drop(running);
        Reply::new(200, "").with("handover", "5c0e7a21d94b36f8")
    }

    fn run(&self, request: &Message, peer: SocketAddr) -> Reply {
        let id = request
            .header(n("request-id"))
            .unwrap_or_default()
            .to_owned();
        let key: Option<u64> = request.header(n("key")).and_then(|key| key.parse().ok());
        if self.is_sharded && !key.is_some_and(|key| self.holds(key)) {
            return Reply::new(421, "")
                .with(n("request-id"), &id)
                .with(n("unrun"), "1");
        }
        let mut running = self.running.lock().unwrap();
        while running.len() >= SLOTS {
            running = self.freed.wait(running).unwrap();
        }
        running.push(key);
        drop(running);
        self.runs.lock().unwrap().push(id.clone());
        self.record.say(&format!(
            "server {} begins to run {id}, from {peer}",
            self.id
        ));
        let work = request
            .path()
            .split('/')
            .nth(2)
            .and_then(|work| work.parse().ok());
        let begin = Instant::now();
        thread::sleep(Duration::from_millis(work.unwrap_or(5)));
        let mut worked = self.worked.lock().unwrap();
        worked.push((id.clone(), begin, Instant::now()));
        drop(worked);
        let mut running = self.running.lock().unwrap();
        if let Some(at) = running.iter().position(|one| *one == key) {
            running.remove(at);
        }
        drop(running);
        self.freed.notify_all();
        self.record.say(&format!("server {} has run {id}", self.id));
        let reply = Reply::new(200, format!("{} {id}", self.id));
        let reply = match self.breaks_off(&id) {
            true => {
                self.record
                    .say(&format!("server {} breaks the answer to {id} off", self.id));
                reply.broken_off()
            }
            false => reply,
        };
        reply
            .with(n("request-id"), &id)
            .with(n("signature"), "3e1b.07")
    }
}

impl Handler for Upstream {
    fn accepts(&self, stream: &TcpStream, peer: SocketAddr) -> bool {
        let is_cut = self
            .cut
            .lock()
            .unwrap()
            .iter()
            .any(|one| holds_socket(*one, peer));
        if is_cut {
            reset(stream);
            return false;
        }
        if let Ok(stream) = stream.try_clone() {
            self.open.lock().unwrap().push((peer, stream));
        }
        true
    }

    fn closed(&self, peer: SocketAddr) {
        self.open.lock().unwrap().retain(|(one, _)| *one != peer);
        self.ordered.lock().unwrap().retain(|one| *one != peer);
    }

    fn handle(&self, request: &Message, peer: SocketAddr) -> Option<Reply> {
        let expected = request.header(n("expected"));
        if expected.is_some_and(|expected| expected != self.id) {
            return Some(Reply::new(421, "").with(n("instance"), &self.id));
        }
        let reply = match request.path() {
            "/grant" => self.grant(request),
            "/release" => {
                self.write_again(request, peer);
                self.release(request)
            }
            "/health" => Reply::new(200, "").with(n("instance"), &self.id),
            _ => self.run(request, peer),
        };
        if matches!(request.path(), "/grant" | "/release") {
            self.again.lock().unwrap().1 += 1;
            self.ordered.lock().unwrap().push(peer);
        }
        Some(reply)
    }
}

/// Returns what is left of a grant without these keys.
fn without(held: Grant, first: u64, last: u64) -> Vec<Grant> {
    if held.last < first || last < held.first {
        return vec![held];
    }
    let before = (held.first < first).then(|| Grant {
        last: first - 1,
        ..held
    });
    let after = (last < held.last).then(|| Grant {
        first: last + 1,
        ..held
    });
    before.into_iter().chain(after).collect()
}

fn value_of<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    Some(rest.split([',', '}']).next().unwrap_or(rest))
}

fn number(body: &str, name: &str) -> u64 {
    value_of(body, name)
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(0)
}

fn text(body: &str, name: &str) -> Option<String> {
    Some(value_of(body, name)?.trim().trim_matches('"').to_owned())
}

/// Ends a connection at once, for both directions.
fn reset(stream: &TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Returns whether a process holds the socket that is bound to the port of `address`.
fn holds_socket(process: u32, address: SocketAddr) -> bool {
    let port = format!(":{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let sockets = table.lines().filter_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let is_of_port = words.get(1)?.ends_with(&port);
        is_of_port.then(|| format!("socket:[{}]", words.get(9).unwrap_or(&"")))
    });
    let sockets: Vec<String> = sockets.collect();
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    files.flatten().any(|file| {
        let target = fs::read_link(file.path()).unwrap_or_default();
        sockets.iter().any(|socket| target.to_str() == Some(socket))
    })
}

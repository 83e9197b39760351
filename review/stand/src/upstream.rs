//! A stand-in for a sound server, with keys or without.
//!
//! A request of `/PREFIX/WORK/...` works for `WORK` milliseconds.

use std::{
    fs,
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
    free: Mutex<usize>,
    freed: Condvar,
    /// The ids of requests that ran.
    runs: Mutex<Vec<String>>,
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
            free: Mutex::new(SLOTS),
            freed: Condvar::new(),
            runs: Mutex::default(),
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
        fill(
            include_str!("../data/registration.json"),
            &[
                ("service", &self.service),
                ("address", &self.address.to_string()),
                ("zone", "here"),
                ("slots", &SLOTS.to_string()),
                ("state", "ready"),
                ("seq", &seq.to_string()),
                ("born", &self.born.to_string()),
            ],
        )
    }

    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap().clone()
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
        Reply::new(200, "")
    }

    fn release(&self, request: &Message) -> Reply {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let (first, last) = (number(&body, n("first")), number(&body, n("last")));
        let mut grants = self.grants.lock().unwrap();
        let before = std::mem::take(&mut *grants);
        *grants = before
            .into_iter()
            .flat_map(|held| without(held, first, last))
            .collect();
        drop(grants);
        // Work in progress has to end before; here it all counts.
        let mut free = self.free.lock().unwrap();
        while *free < SLOTS {
            free = self.freed.wait(free).unwrap();
        }
        Reply::new(200, "").with("handover", "5c0e7a21d94b36f8")
    }

    fn run(&self, request: &Message, peer: SocketAddr) -> Reply {
        let id = request
            .header(n("request-id"))
            .unwrap_or_default()
            .to_owned();
        let key = request.header(n("key")).and_then(|key| key.parse().ok());
        if self.is_sharded && !key.is_some_and(|key| self.holds(key)) {
            return Reply::new(421, "")
                .with(n("request-id"), &id)
                .with(n("not-executed"), "1");
        }
        let mut free = self.free.lock().unwrap();
        while *free == 0 {
            free = self.freed.wait(free).unwrap();
        }
        *free -= 1;
        drop(free);
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
        thread::sleep(Duration::from_millis(work.unwrap_or(5)));
        *self.free.lock().unwrap() += 1;
        self.freed.notify_all();
        self.record.say(&format!("server {} has run {id}", self.id));
        Reply::new(200, format!("{} {id}", self.id))
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

    fn handle(&self, request: &Message, peer: SocketAddr) -> Option<Reply> {
        let expected = request.header(n("expected"));
        if expected.is_some_and(|expected| expected != self.id) {
            return Some(Reply::new(421, "").with(n("instance"), &self.id));
        }
        Some(match request.path() {
            "/grant" => self.grant(request),
            "/release" => self.release(request),
            "/health" => Reply::new(200, "").with(n("instance"), &self.id),
            _ => self.run(request, peer),
        })
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

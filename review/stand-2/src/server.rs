//! A stand-in for a server without keys: some places for requests that run and for some that wait, and refusals when
//! these are taken.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread::{sleep, spawn},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Message, read_message},
    names::{fill, n},
    record::Record,
    store::Store,
};

/// The requests that run at once, and those that wait.
const SLOTS: usize = 6;
const QUEUE: usize = 2;

/// How long the answer to a health check takes.
const HEALTH_TIME: Duration = Duration::from_millis(1);

/// How long a connection stays open without a request.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Each so many answers, one closes its connection.
const CLOSE_INTERVAL: usize = 8;

/// The field of an answer that ends its connection.
const CLOSE: &str = "connection: close\r\n";

/// How often a server writes its entry.
const BEAT: Duration = Duration::from_millis(870);

pub struct Server {
    pub id: String,
    address: SocketAddr,
    born: u128,
    places: Mutex<Places>,
    freed: Condvar,
    counts: Mutex<Counts>,
    random: Mutex<u64>,
    runs: Mutex<Vec<String>>,
    record: Arc<Record>,
}

#[derive(Default)]
struct Places {
    running: usize,
    waiting: usize,
}

/// The answers of a server.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    /// All answers, health checks included.
    pub answers: usize,
    /// Refusals of health checks.
    pub refused_checks: usize,
    /// Refusals of requests.
    pub refused: usize,
    /// Answers that were written once more.
    pub again: usize,
    /// The share of its answers that it writes once more; 0 while it is sound.
    pub again_share: f64,
    /// Answers that it gave while it was faulty.
    pub faulty_answers: usize,
}

impl Server {
    pub fn start(id: &str, service: &str, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        // Each run draws other answers.
        let seed = now.as_nanos() as u64 ^ u64::from(listener.local_addr().unwrap().port());
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            born: now.as_millis(),
            places: Mutex::default(),
            freed: Condvar::new(),
            counts: Mutex::default(),
            random: Mutex::new(seed),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let serving = server.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                // A connection ends with any error.
                spawn(move || server.serve(stream));
            }
        });
        let (beating, store, service) = (server.clone(), store.clone(), service.to_owned());
        spawn(move || {
            for seq in 1_u64.. {
                store.write(
                    n("servers"),
                    &beating.id,
                    &beating.registration(&service, seq),
                );
                sleep(BEAT);
            }
        });
        server
    }

    /// Writes this share of its answers once more from now on, drawn at random.
    pub fn write_again(&self, share: f64) {
        self.counts.lock().unwrap().again_share = share;
    }

    pub fn counts(&self) -> Counts {
        *self.counts.lock().unwrap()
    }

    /// Returns the ids of the requests that it has begun to run.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap().clone()
    }

    fn registration(&self, service: &str, seq: u64) -> String {
        let values = [
            ("service", service),
            ("address", &self.address.to_string()),
            ("zone", "here"),
            ("slots", &SLOTS.to_string()),
            ("state", "ready"),
            ("seq", &seq.to_string()),
            ("born", &self.born.to_string()),
        ];
        fill(include_str!("../data/registration.json"), &values)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(IDLE_TIME))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        // An earlier answer that is due to be written once more.
        let mut earlier: Option<String> = None;
        while let Some(request) = read_message(&mut reader, true)? {
            if let Some(answer) = earlier.take().filter(|_| self.counts().again_share > 0.0) {
                let id = request.header(n("request-id")).unwrap_or("no id");
                if !answer.contains(n("request-id")) {
                    let text = format!(
                        "server {} writes an earlier answer without an id once more, where the answer to {id} is due",
                        self.id
                    );
                    self.record.say(&text);
                }
                writer.write_all(answer.as_bytes())?;
            }
            let answer = if request.path() == "/health" {
                let is_full = self.is_full();
                sleep(HEALTH_TIME);
                self.check(is_full)
            } else {
                self.run(&request)
            };
            if self.takes_again() {
                earlier = Some(answer.clone());
            }
            writer.write_all(answer.as_bytes())?;
            if answer.contains(CLOSE) {
                break;
            }
        }
        Ok(())
    }

    /// Counts an answer; returns whether it is written once more. No more than the share ever are.
    fn takes_again(&self) -> bool {
        let draw = self.draw();
        let mut counts = self.counts.lock().unwrap();
        counts.answers += 1;
        if counts.again_share == 0.0 {
            return false;
        }
        counts.faulty_answers += 1;
        let room = counts.again_share * counts.faulty_answers as f64;
        let has_room = (counts.again + 1) as f64 <= room;
        let is_drawn = draw < counts.again_share && has_room;
        counts.again += usize::from(is_drawn);
        is_drawn
    }

    /// Returns a random number from 0 to 1.
    fn draw(&self) -> f64 {
        let mut random = self.random.lock().unwrap();
        *random ^= *random << 13;
        *random ^= *random >> 7;
        *random ^= *random << 17;
        (*random >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn is_full(&self) -> bool {
        let places = self.places.lock().unwrap();
        places.running + places.waiting >= SLOTS + QUEUE
    }

    /// Answers a health check, which is rejected in the same way as a request if the server is full.
    fn check(&self, is_full: bool) -> String {
        if is_full {
            self.counts.lock().unwrap().refused_checks += 1;
            return refusal("");
        }
        let instance = n("instance");
        format!(
            "HTTP/1.1 200 OK\r\n{instance}: {}\r\ncontent-length: 0\r\n\r\n",
            self.id
        )
    }

    fn run(&self, request: &Message) -> String {
        let id = request.header(n("request-id")).unwrap_or_default();
        let named = format!("{}: {id}\r\n", n("request-id"));
        let expected = request.header(n("expected"));
        if expected.is_some_and(|expected| expected != self.id) {
            return format!("HTTP/1.1 421 Misdirected Request\r\n{named}content-length: 0\r\n\r\n");
        }
        if !self.enter() {
            self.counts.lock().unwrap().refused += 1;
            return refusal(&named);
        }
        let mut runs = self.runs.lock().unwrap();
        runs.push(id.to_owned());
        let is_last = runs.len().is_multiple_of(CLOSE_INTERVAL);
        drop(runs);
        sleep(work_of(request));
        self.places.lock().unwrap().running -= 1;
        self.freed.notify_one();
        let body = format!("{} {id}", self.id);
        let close = if is_last { CLOSE } else { "" };
        format!(
            "HTTP/1.1 200 OK\r\n{named}{}: 3e1b.07\r\n{close}content-length: {}\r\n\r\n{body}",
            n("signature"),
            body.len(),
        )
    }

    /// Waits for a slot; returns `false` if the server is full.
    fn enter(&self) -> bool {
        let mut places = self.places.lock().unwrap();
        if places.running + places.waiting >= SLOTS + QUEUE {
            return false;
        }
        places.waiting += 1;
        while places.running >= SLOTS {
            places = self.freed.wait(places).unwrap();
        }
        places.waiting -= 1;
        places.running += 1;
        true
    }
}

/// Returns the answer of a full server.
fn refusal(named: &str) -> String {
    let unrun = n("unrun");
    format!("HTTP/1.1 503 Service Unavailable\r\n{named}{unrun}: 1\r\ncontent-length: 0\r\n\r\n")
}

/// Returns the work of a request for `/PREFIX/MILLISECONDS/...`.
fn work_of(request: &Message) -> Duration {
    let work = request
        .path()
        .split('/')
        .nth(2)
        .and_then(|work| work.parse().ok());
    Duration::from_millis(work.unwrap_or(5))
}

//! A stand-in for a server with long answers, of which a faulty one breaks some off.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread::{sleep, spawn},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Message, read_message, reset},
    names::{fill, n},
    record::Record,
    store::Store,
};

/// The requests that run at once.
const SLOTS: usize = 6;

/// How often a server writes its entry.
const BEAT: Duration = Duration::from_millis(870);

pub struct Server {
    pub id: String,
    address: SocketAddr,
    born: u128,
    running: Mutex<usize>,
    freed: Condvar,
    runs: Mutex<Vec<String>>,
    faults: Mutex<Faults>,
    record: Arc<Record>,
}

/// The share of the answers that is broken off, and the answers while it is above 0.
struct Faults {
    share: f64,
    answers: usize,
    broken: usize,
    random: u64,
}

impl Server {
    pub fn start(id: &str, service: &str, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let server = Arc::new(Self {
            id: id.to_owned(),
            address,
            born: now.as_millis(),
            running: Mutex::default(),
            freed: Condvar::new(),
            runs: Mutex::default(),
            faults: Mutex::new(Faults {
                share: 0.0,
                answers: 0,
                broken: 0,
                // Each run draws other answers.
                random: now.as_nanos() as u64 ^ u64::from(address.port()),
            }),
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
                let entry = beating.registration(&service, seq);
                store.write(n("servers"), &beating.id, &entry);
                sleep(BEAT);
            }
        });
        server
    }

    /// Breaks this share of the answers off from now on, drawn at random.
    pub fn break_off(&self, share: f64) {
        self.faults.lock().unwrap().share = share;
    }

    /// Returns the number of answers while it was faulty, and of those that were broken off.
    pub fn answers(&self) -> (usize, usize) {
        let faults = self.faults.lock().unwrap();
        (faults.answers, faults.broken)
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
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(request) = read_message(&mut reader, true)? {
            if request.path() == "/health" {
                let head = format!("{}: {}\r\n", n("instance"), self.id);
                writer.write_all(&answer(&head, &[]))?;
                continue;
            }
            let (head, body) = self.run(&request);
            let answer = answer(&head, &body);
            if self.faults.lock().unwrap().breaks_off() {
                let id = request.header(n("request-id")).unwrap_or_default();
                self.record
                    .say(&format!("server {} breaks the answer to {id} off", self.id));
                writer.write_all(&answer[..answer.len() - body.len() / 2 - 1])?;
                sleep(Duration::from_millis(20));
                reset(&writer);
                return Ok(());
            }
            writer.write_all(&answer)?;
        }
        Ok(())
    }

    /// Runs a request of `/PREFIX/MILLISECONDS/BYTES`; returns the fields and the body of its answer.
    fn run(&self, request: &Message) -> (String, Vec<u8>) {
        let id = request.header(n("request-id")).unwrap_or_default();
        let number = |at: usize| request.path().split('/').nth(at)?.parse().ok();
        let mut running = self.running.lock().unwrap();
        while *running >= SLOTS {
            running = self.freed.wait(running).unwrap();
        }
        *running += 1;
        drop(running);
        self.runs.lock().unwrap().push(id.to_owned());
        sleep(Duration::from_millis(number(2).unwrap_or(5)));
        *self.running.lock().unwrap() -= 1;
        self.freed.notify_one();
        let head = format!(
            "{}: {id}\r\n{}: 3e1b.07\r\n",
            n("request-id"),
            n("signature")
        );
        let bytes = usize::try_from(number(3).unwrap_or(0)).unwrap();
        (head, vec![b'r'; bytes])
    }
}

impl Faults {
    /// Returns whether the next answer is broken off, and counts it. No more than the share ever are.
    fn breaks_off(&mut self) -> bool {
        if self.share == 0.0 {
            return false;
        }
        self.answers += 1;
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        let draw = (self.random >> 11) as f64 / (1_u64 << 53) as f64;
        let has_room = (self.broken + 1) as f64 <= self.share * self.answers as f64;
        // A second chance for each makes up for those that the bound leaves out.
        let breaks = has_room && draw < 2.0 * self.share;
        self.broken += usize::from(breaks);
        breaks
    }
}

/// Returns an answer with these fields and body.
fn answer(head: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let text = format!("HTTP/1.1 200 OK\r\n{head}content-length: {length}\r\n\r\n");
    [text.as_bytes(), body].concat()
}

//! A stand-in for the platform's store: a log with compacted topics.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Handler, Message, Reply},
    names::n,
};

#[derive(Default)]
struct Topic {
    records: Vec<(Vec<u8>, Vec<u8>)>,
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = Arc::new(Self::default());
        http::serve(listener, store.clone());
        (store, address)
    }

    /// Writes a record, as the operator and the servers do.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let record = (key.as_bytes().to_vec(), value.as_bytes().to_vec());
        let mut topics = self.topics.lock().unwrap();
        append(topics.entry(topic.to_owned()).or_default(), vec![record]);
        drop(topics);
        self.changed.notify_all();
    }

    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.topics.lock().unwrap();
        let (value, _) = topics.get(topic)?.newest.get(key.as_bytes())?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    fn append(&self, request: &Message) -> Reply {
        let mut body = request.body.as_slice();
        let mut records = Vec::new();
        while body.len() >= 5 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let record = &body[4..4 + length];
            let key = usize::from(record[0]);
            records.push((record[1..=key].to_vec(), record[1 + key..].to_vec()));
            body = &body[4 + length..];
        }
        let mut topics = self.topics.lock().unwrap();
        let name = request.query("topic").unwrap_or_default();
        let topic = topics.entry(name.to_owned()).or_default();
        let at = request.query("asOf").and_then(|at| at.parse().ok());
        let end = topic.records.len();
        if at.is_some_and(|at: usize| at != end) {
            return Reply::new(412, format!("{{\"endOffset\":{end}}}"));
        }
        append(topic, records);
        let next = topic.records.len();
        drop(topics);
        self.changed.notify_all();
        Reply::new(200, format!("{{\"offset\":{end},\"endOffset\":{next}}}"))
    }

    fn read(&self, request: &Message) -> Reply {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let from = number(n("from")).unwrap_or(0) as usize;
        let wait = Duration::from_millis(number(n("wait")).unwrap_or(0));
        let deadline = Instant::now() + wait;
        let name = request.query("topic").unwrap_or_default().to_owned();
        let mut topics = self.topics.lock().unwrap();
        loop {
            let topic = topics.entry(name.clone()).or_default();
            if from > topic.records.len() {
                return Reply::new(410, "{\"first\":0}");
            }
            let now = Instant::now();
            if topic.records.len() > from || now >= deadline {
                let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in &topic.records[from..] {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key);
                    body.extend(value);
                }
                return Reply::new(200, body);
            }
            topics = self.changed.wait_timeout(topics, deadline - now).unwrap().0;
        }
    }

    fn page(&self, request: &Message) -> Reply {
        let after = request
            .query("after")
            .unwrap_or_default()
            .as_bytes()
            .to_vec();
        let name = request.query("topic").unwrap_or_default().to_owned();
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name).or_default();
        let items = topic.newest.iter().filter(|(key, _)| **key > after);
        let items = items.map(|(key, (value, offset))| {
            let key = String::from_utf8_lossy(key);
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            )
        });
        let items: Vec<String> = items.collect();
        let (items, end) = (items.join(","), topic.records.len());
        Reply::new(
            200,
            format!("{{\"items\":[{items}],\"hasMore\":false,\"endOffset\":{end}}}"),
        )
    }
}

fn append(topic: &mut Topic, records: Vec<(Vec<u8>, Vec<u8>)>) {
    for (key, value) in records {
        let offset = topic.records.len() as u64;
        match value.is_empty() {
            true => topic.newest.remove(&key),
            false => topic.newest.insert(key.clone(), (value.clone(), offset)),
        };
        topic.records.push((key, value));
    }
}

impl Handler for Store {
    fn handle(&self, request: &Message, _: SocketAddr) -> Option<Reply> {
        thread::sleep(Duration::from_millis(4));
        let path = request.path();
        Some(if path == n("append") {
            self.append(request)
        } else if path == n("read") {
            self.read(request)
        } else if path == n("newest") {
            self.page(request)
        } else {
            Reply::new(404, "")
        })
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let at = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let number = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}

//! Servers that one request crashes, and that come back.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use crate::standin::{
    caller,
    store::{Store, Writer},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::{JoinHandle, JoinSet},
    time::sleep,
};

/// The path that crashes a server which begins to run it.
pub(crate) const CRASH_PATH: &str = "/read/poison";

/// The start of the paths of requests that take [`SLOW_WORK`].
pub(crate) const SLOW_PATH: &str = "/read/slow";

/// The work of a slow request.
const SLOW_WORK: Duration = Duration::from_millis(1200);

/// How long a crashed server is down.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// When the store removes a registration that is not renewed.
const EXPIRY: Duration = Duration::from_millis(2_600);

/// The length of a response body that is announced and never sent whole.
const LONG_BODY: usize = 200_000;

/// The response to an order about keys.
const ORDER_DONE: &[u8] = b"HTTP/1.1 200 OK\r\nhandover: h\r\ncontent-length: 0\r\n\r\n";

/// How a server ends when a request crashes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// It refuses connections until it is back.
    Refuses,
    /// It is back at once, under its id.
    BackAtOnce,
    /// It is back later under another id.
    Replaced,
    /// It keeps its connections, reads nothing and refuses nothing until it is back.
    Silent,
    /// It ends after the head of its response and a part of the body.
    InBody,
}

/// Servers of the service `pay`.
pub(crate) struct CrashingServers {
    crashes: Arc<AtomicUsize>,
    tasks: Vec<JoinHandle<()>>,
}

/// One server over all its runs.
struct Server {
    id: String,
    end: End,
    writer: Writer,
    crashes: Arc<AtomicUsize>,
}

/// One run of a server.
struct Run {
    end: End,
    crashes: Arc<AtomicUsize>,
    crashed: Notify,
}

impl CrashingServers {
    pub(crate) fn start(store: &Store, count: usize, end: End) -> Self {
        let crashes = Arc::new(AtomicUsize::new(0));
        let tasks = (0..count).map(|number| {
            let server = Server {
                id: format!("f{number}"),
                end,
                writer: store.writer(),
                crashes: crashes.clone(),
            };
            tokio::spawn(server.run())
        });
        Self {
            tasks: tasks.collect(),
            crashes,
        }
    }

    /// Returns how often a server has crashed.
    pub(crate) fn crashes(&self) -> usize {
        self.crashes.load(Ordering::Relaxed)
    }
}

impl Drop for CrashingServers {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Server {
    async fn run(self) {
        let mut address = SocketAddr::from(([127, 0, 0, 1], 0));
        for born in 1_u64.. {
            let listener = TcpListener::bind(address).await.unwrap();
            address = listener.local_addr().unwrap();
            let id = match self.end {
                End::Replaced => format!("{}-{born}", self.id),
                _ => self.id.clone(),
            };
            let renewal = caller::register_born(self.writer.clone(), &id, "pay", address, born);
            let run = Arc::new(Run {
                end: self.end,
                crashes: self.crashes.clone(),
                crashed: Notify::new(),
            });
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let (stream, _) = accepted.unwrap();
                        connections.spawn(run.clone().serve(stream));
                    }
                    () = run.crashed.notified() => break,
                }
            }
            renewal.abort();
            if self.end == End::BackAtOnce {
                continue;
            }
            if self.end != End::Silent {
                drop(listener);
                connections.abort_all();
                while connections.join_next().await.is_some() {}
            }
            sleep(EXPIRY).await;
            caller::unregister(&self.writer, &id);
            sleep(DOWN_TIME - EXPIRY).await;
        }
    }
}

impl Run {
    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        while let Some(head) = read_head(&mut stream).await {
            if let Some(length) = order_length(&head) {
                let mut order = vec![0; length];
                if stream.read_exact(&mut order).await.is_err()
                    || stream.write_all(ORDER_DONE).await.is_err()
                {
                    return;
                }
                continue;
            }
            let mut lines = head.lines();
            let id = lines.find_map(|line| line.strip_prefix(caller::ID_LINE));
            let id = id.unwrap();
            if head.contains(CRASH_PATH) {
                if self.end == End::InBody {
                    let head = caller::answer_head(id, &format!("content-length: {LONG_BODY}"));
                    let _ = stream.write_all((head + "begun").as_bytes()).await;
                }
                self.crashes.fetch_add(1, Ordering::Relaxed);
                self.crashed.notify_one();
                std::future::pending::<()>().await;
            }
            if head.contains(SLOW_PATH) {
                sleep(SLOW_WORK).await;
            }
            let response = caller::answer_head(id, "content-length: 2") + "ok";
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

/// Returns the length of the body if a request is an order about keys.
fn order_length(head: &str) -> Option<usize> {
    let is_order = head.starts_with("POST /grant ") || head.starts_with("POST /release ");
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "))?;
    is_order.then(|| length.parse().unwrap())
}

//! A stand-in for the platform: the append-only log and the list of VMs, with switches for faults.

use std::{
    convert::Infallible,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use copperwell_keyspace::{HashMap, id::LogOffset, record::SIZE_MAX};
use copperwell_log::{
    Batch, Entry, Vm,
    http::{Append, Appended, Vms},
};
use http::{Method, Request, Response, StatusCode, request::Parts};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, sleep, timeout_at},
};
use tokio_util::sync::CancellationToken;

/// The largest body that is read, in bytes: a record of the largest size as JSON.
const BODY_MAX: usize = 2 * SIZE_MAX;
/// The most bytes of records in one answer; at least one record is given.
const BATCH_MAX: usize = 2 << 20;
/// The longest wait of a read.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// A running stand-in.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
    gone: CancellationToken,
}

impl Platform {
    /// Starts on a free port of loopback.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub async fn start() -> Self {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
            .await
            .expect("loopback has a free port")
    }

    /// Starts at an address.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start_at(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new());
        let stop = CancellationToken::new();
        let gone = CancellationToken::new();
        let guard = gone.clone().drop_guard();
        let accepting = accept(listener, shared.clone(), stop.clone());
        tokio::spawn(async move {
            accepting.await;
            drop(guard);
        });
        Ok(Self {
            address,
            shared,
            stop,
            gone,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and cuts all connections.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Resolves when the listener is gone after [`Platform::stop`]; at once if it was not stopped.
    pub async fn stopped(&self) {
        if self.stop.is_cancelled() {
            self.gone.cancelled().await;
        }
    }

    /// While down, connections are cut without an answer.
    pub fn set_down(&self, down: bool) {
        self.shared.faults.send_modify(|faults| faults.down = down);
    }

    /// Delays every answer.
    pub fn set_delay(&self, delay: Duration) {
        self.shared
            .faults
            .send_modify(|faults| faults.delay = delay);
    }

    /// The next `count` appends take effect, but their connections are cut without an answer.
    pub fn lose_answers(&self, count: u64) {
        self.shared.lost_answers.store(count, Ordering::SeqCst);
    }

    /// Keeps only the last `records` records of each stream, from now on.
    pub fn set_retention(&self, records: usize) {
        let mut log = self.shared.log();
        log.retention = records;
        for stream in log.streams.values_mut() {
            stream.retain(records);
        }
    }

    /// Loses all records; offsets start at zero again.
    pub fn reset_log(&self) {
        self.shared.log().streams.clear();
        self.shared.wake();
    }

    /// Loses the last `records` records of a stream; their offsets are given out again.
    pub fn forget(&self, stream: &str, records: usize) {
        if let Some(held) = self.shared.log().streams.get_mut(stream) {
            let kept = held.records.len().saturating_sub(records);
            held.records.truncate(kept);
        }
        self.shared.wake();
    }

    /// Replaces the list of VMs; readers see it after the lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        let mut list = self.shared.list();
        let due = Instant::now() + list.lag;
        list.pending.push((due, vms));
    }

    /// Delays changes of the list of VMs that are made from now on.
    pub fn set_vm_lag(&self, lag: Duration) {
        self.shared.list().lag = lag;
    }

    /// Appends that took effect.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.shared.appends.load(Ordering::SeqCst)
    }

    /// The retained records of a stream.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<Entry> {
        let log = self.shared.log();
        log.streams
            .get(stream)
            .map(|held| held.read(0, usize::MAX).records)
            .unwrap_or_default()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// What connections share; no two of its locks are held together.
#[derive(Debug)]
struct Shared {
    log: Mutex<LogState>,
    list: Mutex<List>,
    faults: watch::Sender<Faults>,
    changes: watch::Sender<u64>,
    lost_answers: AtomicU64,
    appends: AtomicU64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    down: bool,
    delay: Duration,
}

#[derive(Debug)]
struct LogState {
    retention: usize,
    streams: HashMap<String, Stream>,
}

#[derive(Debug, Default)]
struct Stream {
    first: LogOffset,
    records: Vec<Vec<u8>>,
}

#[derive(Debug, Default)]
struct List {
    lag: Duration,
    seen: Vec<Vm>,
    pending: Vec<(Instant, Vec<Vm>)>,
}

impl Shared {
    fn new() -> Self {
        Self {
            log: Mutex::new(LogState {
                retention: usize::MAX,
                streams: HashMap::default(),
            }),
            list: Mutex::default(),
            faults: watch::Sender::default(),
            changes: watch::Sender::default(),
            lost_answers: AtomicU64::new(0),
            appends: AtomicU64::new(0),
        }
    }

    fn log(&self) -> MutexGuard<'_, LogState> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn append(&self, stream: &str, bytes: Vec<u8>) -> LogOffset {
        let mut log = self.log();
        let retention = log.retention;
        let held = log.streams.entry(stream.to_owned()).or_default();
        let offset = held.next();
        held.records.push(bytes);
        held.retain(retention);
        drop(log);
        self.appends.fetch_add(1, Ordering::SeqCst);
        self.wake();
        offset
    }

    fn read(&self, stream: &str, from: LogOffset) -> Batch {
        let log = self.log();
        log.streams
            .get(stream)
            .map(|held| held.read(from, BATCH_MAX))
            .unwrap_or_default()
    }

    fn vms(&self) -> Vec<Vm> {
        let mut list = self.list();
        let now = Instant::now();
        let due = list.pending.iter().take_while(|(at, _)| *at <= now).count();
        let last = list.pending.drain(..due).next_back();
        if let Some((_, seen)) = last {
            list.seen = seen;
        }
        list.seen.clone()
    }

    /// Whether this append's answer is to be lost.
    fn loses_answer(&self) -> bool {
        self.lost_answers
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| {
                count.checked_sub(1)
            })
            .is_ok()
    }
}

impl Stream {
    fn next(&self) -> LogOffset {
        self.first + self.records.len() as u64
    }

    fn retain(&mut self, records: usize) {
        let surplus = self.records.len().saturating_sub(records);
        self.records.drain(..surplus);
        self.first += surplus as u64;
    }

    fn read(&self, from: LogOffset, bytes_max: usize) -> Batch {
        let start = from.max(self.first);
        let skipped = usize::try_from(start - self.first).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let records = (start..)
            .zip(self.records.iter().skip(skipped))
            .take_while(|(_, record)| {
                let fits = bytes == 0 || bytes + record.len() <= bytes_max;
                bytes += record.len();
                fits
            })
            .map(|(offset, record)| Entry {
                offset,
                bytes: record.clone(),
            })
            .collect();
        Batch {
            first: self.first,
            next: self.next(),
            records,
            relayed: None,
        }
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve(stream, shared.clone(), stop.clone()));
                }
            }
        }
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>, stop: CancellationToken) {
    let mut faults = shared.faults.subscribe();
    let cut = CancellationToken::new();
    let service = service_fn(|request| answer(request, shared.clone(), cut.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        () = stop.cancelled() => {}
        () = cut.cancelled() => {}
        _ = faults.wait_for(|faults| faults.down) => {}
    }
}

async fn answer(
    request: Request<Incoming>,
    shared: Arc<Shared>,
    cut: CancellationToken,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = request.into_parts();
    let response = route(&parts, body, &shared, &cut).await;
    let delay = shared.faults.borrow().delay;
    sleep(delay).await;
    Ok(response)
}

async fn route(
    parts: &Parts,
    body: Incoming,
    shared: &Shared,
    cut: &CancellationToken,
) -> Response<Full<Bytes>> {
    let path: Vec<&str> = parts.uri.path().split('/').skip(1).collect();
    match (&parts.method, path.as_slice()) {
        (&Method::GET, ["vms"]) => json(&Vms { vms: shared.vms() }),
        (&Method::GET, ["streams", stream, "records"]) => {
            json(&read(stream, parts.uri.query().unwrap_or_default(), shared).await)
        }
        (&Method::POST, ["streams", stream, "records"]) => append(stream, body, shared, cut).await,
        _ => refuse(StatusCode::NOT_FOUND, "no such resource"),
    }
}

async fn read(stream: &str, query: &str, shared: &Shared) -> Batch {
    let number = |name: &str| {
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let from = number("from");
    let wait = Duration::from_millis(number("wait_ms")).min(WAIT_MAX);
    let deadline = Instant::now() + wait;
    let mut changes = shared.changes.subscribe();
    loop {
        changes.mark_unchanged();
        let batch = shared.read(stream, from);
        if batch.next != from {
            return batch;
        }
        if !matches!(timeout_at(deadline, changes.changed()).await, Ok(Ok(()))) {
            return batch;
        }
    }
}

async fn append(
    stream: &str,
    body: Incoming,
    shared: &Shared,
    cut: &CancellationToken,
) -> Response<Full<Bytes>> {
    let Ok(body) = Limited::new(body, BODY_MAX).collect().await else {
        return refuse(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    };
    let Ok(append) = serde_json::from_slice::<Append>(&body.to_bytes()) else {
        return refuse(StatusCode::BAD_REQUEST, "the body is not a record");
    };
    if append.bytes.len() > SIZE_MAX {
        return refuse(StatusCode::PAYLOAD_TOO_LARGE, "the record is too large");
    }
    let offset = shared.append(stream, append.bytes);
    if shared.loses_answer() {
        cut.cancel();
        std::future::pending::<()>().await;
    }
    json(&Appended { offset })
}

fn json(answer: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(answer) {
        Ok(bytes) => Response::new(Full::from(bytes)),
        Err(error) => refuse(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn refuse(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text.to_owned()));
    *response.status_mut() = status;
    response
}

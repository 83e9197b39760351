//! A stand-in for the platform: the append-only log and the list of VMs, with fault injection.

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

/// The largest request body, in bytes: enough for a record of the largest size as JSON.
const BODY_BYTES_MAX: usize = 2 * SIZE_MAX;
/// The highest number of bytes of records in one answer; the first one is returned at any size.
const BATCH_BYTES_MAX: usize = 2 << 20;
/// The longest time that a read waits for new records.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// A running stand-in; dropping it stops it.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
    closed: CancellationToken,
}

impl Platform {
    /// Starts a stand-in on a free port of the loopback interface.
    ///
    /// # Panics
    ///
    /// Panics if the loopback interface has no free port.
    pub async fn start() -> Self {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
            .await
            .expect("loopback has a free port")
    }

    /// Starts a stand-in at an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start_at(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new());
        let stop = CancellationToken::new();
        let closed = CancellationToken::new();
        let guard = closed.clone().drop_guard();
        let accept_loop = accept(listener, shared.clone(), stop.clone());
        tokio::spawn(async move {
            accept_loop.await;
            drop(guard);
        });
        Ok(Self {
            address,
            shared,
            stop,
            closed,
        })
    }

    /// Returns the address that the stand-in listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Waits until the listener is closed after [`Platform::stop`]; returns at once if not stopped.
    pub async fn stopped(&self) {
        if self.stop.is_cancelled() {
            self.closed.cancelled().await;
        }
    }

    /// Sets whether the platform is down; while it is, connections are closed without an answer.
    pub fn set_down(&self, down: bool) {
        self.shared.faults.send_modify(|faults| faults.down = down);
    }

    /// Delays every answer by this time.
    pub fn set_delay(&self, delay: Duration) {
        self.shared
            .faults
            .send_modify(|faults| faults.delay = delay);
    }

    /// Lets the next `count` appends take effect, but closes their connections without an answer.
    pub fn lose_answers(&self, count: u64) {
        self.shared.lost_answers.store(count, Ordering::SeqCst);
    }

    /// Keeps only the last `records` records of each stream from now on.
    pub fn set_retention(&self, records: usize) {
        let mut log = self.shared.log();
        log.retention = records;
        for stream in log.streams.values_mut() {
            stream.retain(records);
        }
    }

    /// Deletes all records; offsets start at zero again.
    pub fn reset_log(&self) {
        self.shared.log().streams.clear();
        self.shared.notify_readers();
    }

    /// Deletes the last `records` records of a stream; their offsets are reused.
    pub fn truncate(&self, stream: &str, records: usize) {
        if let Some(log_stream) = self.shared.log().streams.get_mut(stream) {
            let kept = log_stream.records.len().saturating_sub(records);
            log_stream.records.truncate(kept);
        }
        self.shared.notify_readers();
    }

    /// Replaces the list of VMs; readers see the new list after the lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        let mut list = self.shared.vm_list();
        let due = Instant::now() + list.lag;
        list.pending.push((due, vms));
    }

    /// Sets the lag after which readers see later changes of the list of VMs.
    pub fn set_vm_lag(&self, lag: Duration) {
        self.shared.vm_list().lag = lag;
    }

    /// Returns the number of appends that took effect.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.shared.appends.load(Ordering::SeqCst)
    }

    /// Returns the retained records of a stream.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<Entry> {
        let log = self.shared.log();
        log.streams
            .get(stream)
            .map(|log_stream| log_stream.read(0, usize::MAX).records)
            .unwrap_or_default()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// The state that all connections share; no two of its locks are held at the same time.
#[derive(Debug)]
struct Shared {
    log: Mutex<LogState>,
    vm_list: Mutex<VmList>,
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
struct VmList {
    lag: Duration,
    visible: Vec<Vm>,
    pending: Vec<(Instant, Vec<Vm>)>,
}

impl Shared {
    fn new() -> Self {
        Self {
            log: Mutex::new(LogState {
                retention: usize::MAX,
                streams: HashMap::default(),
            }),
            vm_list: Mutex::default(),
            faults: watch::Sender::default(),
            changes: watch::Sender::default(),
            lost_answers: AtomicU64::new(0),
            appends: AtomicU64::new(0),
        }
    }

    fn log(&self) -> MutexGuard<'_, LogState> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn vm_list(&self) -> MutexGuard<'_, VmList> {
        self.vm_list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_readers(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn append(&self, stream: &str, bytes: Vec<u8>) -> LogOffset {
        let mut log = self.log();
        let retention = log.retention;
        let log_stream = log.streams.entry(stream.to_owned()).or_default();
        let offset = log_stream.next();
        log_stream.records.push(bytes);
        log_stream.retain(retention);
        drop(log);
        self.appends.fetch_add(1, Ordering::SeqCst);
        self.notify_readers();
        offset
    }

    fn read(&self, stream: &str, from: LogOffset) -> Batch {
        let log = self.log();
        log.streams
            .get(stream)
            .map(|log_stream| log_stream.read(from, BATCH_BYTES_MAX))
            .unwrap_or_default()
    }

    fn vms(&self) -> Vec<Vm> {
        let mut list = self.vm_list();
        let now = Instant::now();
        let due = list.pending.iter().take_while(|(at, _)| *at <= now).count();
        let last = list.pending.drain(..due).next_back();
        if let Some((_, visible)) = last {
            list.visible = visible;
        }
        list.visible.clone()
    }

    /// Returns whether the answer to this append is to be lost, and counts it.
    fn take_lost_answer(&self) -> bool {
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
        let excess = self.records.len().saturating_sub(records);
        self.records.drain(..excess);
        self.first += excess as u64;
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
    let abort = CancellationToken::new();
    let service = service_fn(|request| answer(request, shared.clone(), abort.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        () = stop.cancelled() => {}
        () = abort.cancelled() => {}
        _ = faults.wait_for(|faults| faults.down) => {}
    }
}

async fn answer(
    request: Request<Incoming>,
    shared: Arc<Shared>,
    abort: CancellationToken,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = request.into_parts();
    let response = route(&parts, body, &shared, &abort).await;
    let delay = shared.faults.borrow().delay;
    sleep(delay).await;
    Ok(response)
}

async fn route(
    parts: &Parts,
    body: Incoming,
    shared: &Shared,
    abort: &CancellationToken,
) -> Response<Full<Bytes>> {
    let path: Vec<&str> = parts.uri.path().split('/').skip(1).collect();
    match (&parts.method, path.as_slice()) {
        (&Method::GET, ["vms"]) => json(&Vms { vms: shared.vms() }),
        (&Method::GET, ["streams", stream, "records"]) => {
            json(&read(stream, parts.uri.query().unwrap_or_default(), shared).await)
        }
        (&Method::POST, ["streams", stream, "records"]) => {
            append(stream, body, shared, abort).await
        }
        _ => error_response(StatusCode::NOT_FOUND, "no such resource"),
    }
}

async fn read(stream: &str, query: &str, shared: &Shared) -> Batch {
    let parameter = |name: &str| {
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let from = parameter("from");
    let wait = Duration::from_millis(parameter("wait_ms")).min(WAIT_MAX);
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
    abort: &CancellationToken,
) -> Response<Full<Bytes>> {
    let Ok(body) = Limited::new(body, BODY_BYTES_MAX).collect().await else {
        return error_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    };
    let Ok(append) = serde_json::from_slice::<Append>(&body.to_bytes()) else {
        return error_response(StatusCode::BAD_REQUEST, "the body is not a record");
    };
    if append.bytes.len() > SIZE_MAX {
        return error_response(StatusCode::PAYLOAD_TOO_LARGE, "the record is too large");
    }
    let offset = shared.append(stream, append.bytes);
    if shared.take_lost_answer() {
        abort.cancel();
        std::future::pending::<()>().await;
    }
    json(&Appended { offset })
}

fn json(answer: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(answer) {
        Ok(bytes) => Response::new(Full::from(bytes)),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn error_response(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text.to_owned()));
    *response.status_mut() = status;
    response
}

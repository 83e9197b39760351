//! A stand-in server that can be stopped, frozen and restarted.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use super::{
    gate::Gated,
    options::Options,
    process::Process,
    record::{Record, Shard},
    service,
    switch::{Counters, Counts, Switches},
};
use copperwell_backend::order::Load;
use copperwell_keyspace::{Incarnation, UpstreamName, manifest::Upstream};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// The incarnation of the next run of any stand-in server in this process.
static NEXT_INCARNATION: AtomicU64 = AtomicU64::new(1);

/// The number of times that a restart retries to bind its address.
const BIND_RETRIES_MAX: u32 = 100;

/// The delay before another attempt to bind the address or to accept a connection.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A backend server that runs as tasks of this process; dropping it stops the server.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
}

/// The state of a server that persists across restarts.
#[derive(Debug)]
pub(super) struct Shared {
    options: Arc<Options>,
    address: SocketAddr,
    record: Record,
    switches: Arc<Switches>,
    counters: Arc<Counters>,
    process: Mutex<Option<Arc<Process>>>,
}

impl Server {
    /// Starts a server that writes its holds and runs to `record`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(options: Options, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind(options.address).await?;
        let shared = Arc::new(Shared {
            address: listener.local_addr()?,
            options: Arc::new(options),
            record: record.clone(),
            switches: Arc::default(),
            counters: Arc::default(),
            process: Mutex::default(),
        });
        shared.start_process(listener);
        Ok(Self { shared })
    }

    /// Returns the server's name.
    #[must_use]
    pub fn name(&self) -> &UpstreamName {
        &self.shared.options.name
    }

    /// Returns the address that the server listens on, which a restart keeps.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the incarnation of the current run, or `None` while the server is stopped.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.shared.current().map(|process| process.incarnation)
    }

    /// Returns the server's declaration for a manifest.
    #[must_use]
    pub fn upstream(&self, data_centre: &str) -> Upstream {
        let options = &self.shared.options;
        Upstream {
            part: 0,
            name: options.name.clone(),
            data_centre: data_centre.into(),
            address: self.shared.address,
            slots: options.slots,
            connections: options.connections,
            fencing: options.fencing,
            drain: false,
        }
    }

    /// Stops all answers; connections stay open and leases keep expiring.
    pub fn freeze(&self) {
        if let Some(process) = self.shared.current() {
            process.gate.close();
            self.shared.record_freeze();
        }
    }

    /// Ends [`Server::freeze`]; the server now handles what arrived in the meantime.
    pub fn wake(&self) {
        if let Some(process) = self.shared.current() {
            self.shared.record_wake();
            process.gate.open();
        }
    }

    /// Stops the server at once: closes every connection and drops all grants.
    pub fn kill(&self) {
        self.shared.end_process();
    }

    /// Stops the current run, if any, and starts a new one without grants at the same address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn restart(&self) -> io::Result<()> {
        self.shared.restart().await
    }

    /// Sets whether the server reports that it is draining.
    pub fn drain(&self, on: bool) {
        self.shared.switches.drain.store(on, Ordering::Release);
    }

    /// Sets whether the server sheds all requests.
    pub fn shed(&self, on: bool) {
        self.shared.switches.shed.store(on, Ordering::Release);
    }

    /// Sets whether the server closes the connection after half of each answer.
    pub fn set_half_answers(&self, on: bool) {
        self.shared
            .switches
            .half_answer
            .store(on, Ordering::Release);
    }

    /// Delays each answer by this time after its request ran.
    pub fn delay_answers(&self, delay: Duration) {
        self.shared.switches.set_answer_delay(delay);
    }

    /// Reports this load instead of the real one, or the real one again if `None`.
    pub fn mislead(&self, load: Option<Load>) {
        self.shared.switches.set_load_override(load);
    }

    /// Returns the shards that the server holds.
    #[must_use]
    pub fn shards(&self) -> Vec<Shard> {
        self.shared
            .current()
            .map(|process| process.shards())
            .unwrap_or_default()
    }

    /// Returns the server's counters over all its runs.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.counters.read()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.end_process();
    }
}

impl Shared {
    /// Ends the run in which a request asked for a crash, and restarts the server if its options
    /// say so.
    pub(super) fn crash(self: &Arc<Self>, process: &Arc<Process>) {
        let current = self.current();
        if !current.is_some_and(|current| Arc::ptr_eq(&current, process)) {
            return;
        }
        self.end_process();
        if let Some(delay) = self.options.restart_after_crash {
            let shared = Arc::downgrade(self);
            tokio::spawn(async move {
                sleep(delay).await;
                if let Some(shared) = Weak::upgrade(&shared) {
                    // The address was bound until just now; if it can't be bound again, the
                    // server stays down.
                    let _ = shared.restart().await;
                }
            });
        }
    }

    fn current(&self) -> Option<Arc<Process>> {
        self.process().clone()
    }

    fn end_process(&self) {
        let process = self.process().take();
        if let Some(process) = process {
            process.end();
            self.record_wake();
        }
    }

    async fn restart(self: &Arc<Self>) -> io::Result<()> {
        self.end_process();
        let mut retries = 0;
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                Err(error) if retries >= BIND_RETRIES_MAX => return Err(error),
                Err(_) => retries += 1,
            }
            sleep(SOCKET_RETRY_DELAY).await;
        };
        self.start_process(listener);
        Ok(())
    }

    fn start_process(self: &Arc<Self>, listener: TcpListener) {
        let process = Arc::new(Process::new(
            self.options.clone(),
            NEXT_INCARNATION.fetch_add(1, Ordering::AcqRel),
            self.record.clone(),
            self.switches.clone(),
            self.counters.clone(),
        ));
        *self.process() = Some(process.clone());
        let shared = Arc::downgrade(self);
        tokio::spawn(async move {
            let stop = process.stop.clone();
            stop.run_until_cancelled(accept(shared, process, listener))
                .await;
        });
    }

    fn record_freeze(&self) {
        let now = tokio::time::Instant::now();
        self.record.freeze(&self.options.name, now);
    }

    fn record_wake(&self) {
        let now = tokio::time::Instant::now();
        self.record.unfreeze(&self.options.name, now);
    }

    fn process(&self) -> MutexGuard<'_, Option<Arc<Process>>> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(shared: Weak<Shared>, process: Arc<Process>, listener: TcpListener) {
    loop {
        process.gate.wait_open().await;
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely the process is out of file descriptors; some may be freed soon.
            sleep(SOCKET_RETRY_DELAY).await;
            continue;
        };
        if process.open_connections.load(Ordering::Acquire) >= process.options.connections {
            continue;
        }
        process.open_connections.fetch_add(1, Ordering::AcqRel);
        process.counters.connections.fetch_add(1, Ordering::AcqRel);
        let (shared, process) = (shared.clone(), process.clone());
        tokio::spawn(async move {
            let stop = process.stop.clone();
            stop.run_until_cancelled(serve(shared, process.clone(), stream))
                .await;
            process.open_connections.fetch_sub(1, Ordering::AcqRel);
        });
    }
}

async fn serve(shared: Weak<Shared>, process: Arc<Process>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    sleep(process.options.connect_time).await;
    let io = TokioIo::new(Gated::new(stream, process.gate.clone()));
    let service = service_fn(|request| {
        let (shared, process) = (shared.upgrade(), process.clone());
        async move {
            let shared = shared.ok_or_else(|| io::Error::other("the server was dropped"))?;
            Ok::<_, io::Error>(service::answer(shared, process, request).await)
        }
    });
    // A caller that disconnects or violates the protocol only ends its own connection.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}

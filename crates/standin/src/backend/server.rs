//! A stand-in that can be stopped, frozen and started again.

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

/// The incarnation of the next start of any stand-in.
static NEXT_INCARNATION: AtomicU64 = AtomicU64::new(1);

/// How often a restart tries to listen on its old address.
const LISTEN_TRIES: u32 = 100;

/// The pause between two such tries.
const LISTEN_PAUSE: Duration = Duration::from_millis(20);

/// A backend server that runs as tasks of this process; dropping it stops it.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
}

/// What outlasts a restart.
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
    /// Starts a server that writes what it does to `record`.
    ///
    /// # Errors
    ///
    /// If its address cannot be listened on.
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
        shared.begin(listener);
        Ok(Self { shared })
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &UpstreamName {
        &self.shared.options.name
    }

    /// Where it listens, the same after a restart.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Its current run; `None` while it is stopped.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.shared.current().map(|process| process.incarnation)
    }

    /// Its declaration for a manifest.
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

    /// Answers nothing from here on; connections stay open and the clock goes on.
    pub fn freeze(&self) {
        if let Some(process) = self.shared.current() {
            process.gate.shut();
            self.shared.note_frozen();
        }
    }

    /// Ends [`Server::freeze`]; what came in the meantime is taken now.
    pub fn wake(&self) {
        if let Some(process) = self.shared.current() {
            self.shared.note_awake();
            process.gate.open();
        }
    }

    /// Stops at once: every connection is closed and nothing is held.
    pub fn kill(&self) {
        self.shared.end();
    }

    /// Starts a new run at the same address, which holds nothing.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub async fn restart(&self) -> io::Result<()> {
        self.shared.restart().await
    }

    /// Says that it wants no new work, or that it does again.
    pub fn drain(&self, on: bool) {
        self.shared.switches.drain.store(on, Ordering::Release);
    }

    /// Refuses every request, or no longer.
    pub fn shed(&self, on: bool) {
        self.shared.switches.shed.store(on, Ordering::Release);
    }

    /// Closes the connection after half of each answer, or no longer.
    pub fn half_answer(&self, on: bool) {
        self.shared
            .switches
            .half_answer
            .store(on, Ordering::Release);
    }

    /// Holds each answer back by this time after its request ran.
    pub fn delay_answers(&self, delay: Duration) {
        self.shared.switches.set_answer_delay(delay);
    }

    /// Tells this load instead of the true one.
    pub fn mislead(&self, load: Option<Load>) {
        self.shared.switches.set_misleading(load);
    }

    /// The shards that it accepts requests for.
    #[must_use]
    pub fn shards(&self) -> Vec<Shard> {
        self.shared
            .current()
            .map(|process| process.shards())
            .unwrap_or_default()
    }

    /// Its counters, over all its runs.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.counters.read()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.end();
    }
}

impl Shared {
    /// Stops the run in which a marked request started, and starts the next one if so declared.
    pub(super) fn crash(self: &Arc<Self>, process: &Arc<Process>) {
        let current = self.current();
        if !current.is_some_and(|current| Arc::ptr_eq(&current, process)) {
            return;
        }
        self.end();
        if let Some(after) = self.options.restart_after_crash {
            let shared = Arc::downgrade(self);
            tokio::spawn(async move {
                sleep(after).await;
                if let Some(shared) = Weak::upgrade(&shared) {
                    // The address was ours a moment ago; if it is gone, the server stays down.
                    let _ = shared.restart().await;
                }
            });
        }
    }

    fn current(&self) -> Option<Arc<Process>> {
        self.process().clone()
    }

    fn end(&self) {
        let process = self.process().take();
        if let Some(process) = process {
            process.end();
            self.note_awake();
        }
    }

    async fn restart(self: &Arc<Self>) -> io::Result<()> {
        self.end();
        let mut tries = 0;
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                Err(error) if tries >= LISTEN_TRIES => return Err(error),
                Err(_) => tries += 1,
            }
            sleep(LISTEN_PAUSE).await;
        };
        self.begin(listener);
        Ok(())
    }

    fn begin(self: &Arc<Self>, listener: TcpListener) {
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

    fn note_frozen(&self) {
        let now = tokio::time::Instant::now();
        self.record.freeze(&self.options.name, now);
    }

    fn note_awake(&self) {
        let now = tokio::time::Instant::now();
        self.record.wake(&self.options.name, now);
    }

    fn process(&self) -> MutexGuard<'_, Option<Arc<Process>>> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(shared: Weak<Shared>, process: Arc<Process>, listener: TcpListener) {
    loop {
        process.gate.passed().await;
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors, most likely; some may be free soon.
            sleep(LISTEN_PAUSE).await;
            continue;
        };
        if process.open.load(Ordering::Acquire) >= process.options.connections {
            continue;
        }
        process.open.fetch_add(1, Ordering::AcqRel);
        process.counters.connections.fetch_add(1, Ordering::AcqRel);
        let (shared, process) = (shared.clone(), process.clone());
        tokio::spawn(async move {
            let stop = process.stop.clone();
            stop.run_until_cancelled(serve(shared, process.clone(), stream))
                .await;
            process.open.fetch_sub(1, Ordering::AcqRel);
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
            let shared = shared.ok_or_else(|| io::Error::other("the server is gone"))?;
            Ok::<_, io::Error>(service::answer(shared, process, request).await)
        }
    });
    // A caller that goes away or breaks the protocol ends its connection, nothing else.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}

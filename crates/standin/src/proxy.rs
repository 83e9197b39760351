//! A TCP proxy that injects network faults: delays, partitions, resets and refusals.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    time::{Instant, sleep, sleep_until},
};
use tokio_util::sync::CancellationToken;

/// The highest number of open connections; further ones are closed at once.
const CONNECTIONS_MAX: usize = 4096;

/// The largest chunk that one read returns, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// The highest number of delayed chunks queued in one direction of a connection.
const QUEUED_CHUNKS_MAX: usize = 64;

/// The number of attempts to bind the address again after a refusal.
const BIND_ATTEMPTS_MAX: u32 = 250;

/// The delay between two such attempts.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The highest number of source addresses that can be cut off at the same time.
const SOURCES_MAX: usize = 8;

/// A proxy in front of one target; dropping it closes all connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

/// A direction through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    FromTarget,
}

/// How the proxy handles new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Accept {
    /// Forwards them to the target.
    #[default]
    Pass,
    /// Accepts them and closes them at once.
    Close,
    /// Does not listen, so that they are refused.
    Refuse,
}

/// The faults that are injected at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Faults {
    delay: Duration,
    cut_to: bool,
    cut_from: bool,
    cut_sources: [Option<IpAddr>; SOURCES_MAX],
    accept: Accept,
}

/// The network latency between the target and all source addresses but one.
#[derive(Debug, Clone, Copy)]
struct Latency {
    delay: Duration,
    local_source: IpAddr,
}

/// One direction of a connection, with the client's address.
#[derive(Debug, Clone, Copy)]
struct Flow {
    direction: Direction,
    source: IpAddr,
}

#[derive(Debug)]
struct Shared {
    target: Mutex<SocketAddr>,
    latency: Mutex<Option<Latency>>,
    stop: CancellationToken,
    faults: watch::Sender<Faults>,
    cancellation: Mutex<Cancellation>,
    open: AtomicUsize,
    accepted: AtomicUsize,
}

/// The tokens that silence or reset the connections that are open at present.
#[derive(Debug, Clone, Default)]
struct Cancellation {
    silence: CancellationToken,
    reset: CancellationToken,
}

impl Proxy {
    /// Starts a proxy on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::new(target),
            latency: Mutex::default(),
            stop: CancellationToken::new(),
            faults: watch::Sender::default(),
            cancellation: Mutex::default(),
            open: AtomicUsize::new(0),
            accepted: AtomicUsize::new(0),
        });
        tokio::spawn(listen(shared.clone(), listener, address));
        Ok(Self { address, shared })
    }

    /// Returns the address that the proxy listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards new connections to another target.
    pub fn set_target(&self, target: SocketAddr) {
        let mut current = self
            .shared
            .target
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = target;
    }

    /// Delays all bytes by this time, each way, on connections that don't come from `local_source`.
    ///
    /// This simulates the target's location; [`Proxy::heal`] does not end it.
    pub fn set_distance(&self, delay: Duration, local_source: IpAddr) {
        let mut current = self
            .shared
            .latency
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = Some(Latency {
            delay,
            local_source,
        });
    }

    /// Delays all bytes by this time, each way, until healed.
    pub fn delay(&self, delay: Duration) {
        self.update_faults(|faults| faults.delay = delay);
    }

    /// Holds back all bytes in one direction, on old and new connections, until healed.
    pub fn cut(&self, direction: Direction) {
        self.update_faults(|faults| match direction {
            Direction::ToTarget => faults.cut_to = true,
            Direction::FromTarget => faults.cut_from = true,
        });
    }

    /// Holds back all bytes in both directions, on old and new connections, until healed.
    pub fn cut_both(&self) {
        self.cut(Direction::ToTarget);
        self.cut(Direction::FromTarget);
    }

    /// Holds back all bytes of connections that come from one address, until healed.
    pub fn cut_source(&self, source: IpAddr) {
        self.update_faults(|faults| {
            if let Some(free) = faults.cut_sources.iter_mut().find(|cut| cut.is_none()) {
                *free = Some(source);
            }
        });
    }

    /// Silences the connections that are open, permanently; new ones work.
    pub fn hush(&self) {
        let silence = std::mem::take(&mut self.shared.cancellation().silence);
        silence.cancel();
    }

    /// Resets the connections that are open, including silent ones; new ones work.
    pub fn reset(&self) {
        let cancellation = std::mem::take(&mut *self.shared.cancellation());
        cancellation.reset.cancel();
    }

    /// Sets how new connections are handled.
    pub fn accept(&self, accept: Accept) {
        self.update_faults(|faults| faults.accept = accept);
    }

    /// Ends delays, cuts and refusals; silenced connections stay silent.
    pub fn heal(&self) {
        self.update_faults(|faults| *faults = Faults::default());
    }

    /// Returns the number of open connections, including silent ones.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.shared.open.load(Ordering::Acquire)
    }

    /// Returns the number of connections accepted so far, without those closed at once.
    #[must_use]
    pub fn accepted_connections(&self) -> usize {
        self.shared.accepted.load(Ordering::Acquire)
    }

    fn update_faults(&self, update: impl FnOnce(&mut Faults)) {
        self.shared.faults.send_modify(update);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.stop.cancel();
    }
}

impl Shared {
    fn target(&self) -> SocketAddr {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the simulated latency between the target and `source`.
    fn latency_of(&self, source: IpAddr) -> Duration {
        let latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        let remote = latency.filter(|latency| latency.local_source != source);
        remote.map_or(Duration::ZERO, |latency| latency.delay)
    }

    fn cancellation(&self) -> MutexGuard<'_, Cancellation> {
        self.cancellation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Faults {
    fn is_cut(self, flow: Flow) -> bool {
        let cut = match flow.direction {
            Direction::ToTarget => self.cut_to,
            Direction::FromTarget => self.cut_from,
        };
        cut || self.cut_sources.contains(&Some(flow.source))
    }
}

/// Accepts connections, and stops listening while connections are to be refused.
async fn listen(shared: Arc<Shared>, listener: TcpListener, address: SocketAddr) {
    let stop = shared.stop.clone();
    let mut listener = Some(listener);
    let mut faults = shared.faults.subscribe();
    let serve = async {
        loop {
            if faults.borrow_and_update().accept == Accept::Refuse {
                listener = None;
                let _ = faults.changed().await;
                continue;
            }
            if listener.is_none() {
                listener = bind_again(address).await;
            }
            let Some(listener) = &listener else {
                return;
            };
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, source)) = accepted {
                    spawn_relay(&shared, stream, source.ip());
                },
                _ = faults.changed() => {}
            }
        }
    };
    stop.run_until_cancelled(serve).await;
}

async fn bind_again(address: SocketAddr) -> Option<TcpListener> {
    for _ in 0..BIND_ATTEMPTS_MAX {
        if let Ok(listener) = TcpListener::bind(address).await {
            return Some(listener);
        }
        sleep(BIND_RETRY_DELAY).await;
    }
    None
}

fn spawn_relay(shared: &Arc<Shared>, stream: TcpStream, source: IpAddr) {
    let is_closing = shared.faults.borrow().accept == Accept::Close;
    if is_closing || shared.open.load(Ordering::Acquire) >= CONNECTIONS_MAX {
        return;
    }
    shared.accepted.fetch_add(1, Ordering::AcqRel);
    shared.open.fetch_add(1, Ordering::AcqRel);
    let shared = shared.clone();
    let cancellation = shared.cancellation().clone();
    tokio::spawn(async move {
        let stop = shared.stop.clone();
        stop.run_until_cancelled(relay(&shared, cancellation, stream, source))
            .await;
        shared.open.fetch_sub(1, Ordering::AcqRel);
    });
}

/// Relays one connection until it ends, is reset, or is silenced and later reset.
async fn relay(shared: &Shared, cancellation: Cancellation, mut client: TcpStream, source: IpAddr) {
    let target = shared.target();
    let Ok(mut server) = TcpStream::connect(target).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let ended = tokio::select! {
        biased;
        () = cancellation.reset.cancelled() => Err(io::ErrorKind::ConnectionReset.into()),
        () = cancellation.silence.cancelled() => {
            cancellation.reset.cancelled().await;
            Err(io::ErrorKind::ConnectionReset.into())
        }
        ended = relay_both(shared, source, &mut client, &mut server) => ended,
    };
    if ended.is_err() {
        // If one side fails, both are closed with a reset.
        let _ = client.set_zero_linger();
        let _ = server.set_zero_linger();
    }
}

async fn relay_both(
    shared: &Shared,
    source: IpAddr,
    client: &mut TcpStream,
    server: &mut TcpStream,
) -> io::Result<()> {
    let flow = |direction| Flow { direction, source };
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let to = relay_direction(shared, flow(Direction::ToTarget), client_read, server_write);
    let from = relay_direction(
        shared,
        flow(Direction::FromTarget),
        server_read,
        client_write,
    );
    tokio::try_join!(to, from)?;
    Ok(())
}

/// A chunk of bytes and the time at which to forward it.
struct Delayed {
    due: Instant,
    bytes: Bytes,
}

async fn relay_direction(
    shared: &Shared,
    flow: Flow,
    from: impl AsyncRead + Unpin,
    to: impl AsyncWrite + Unpin,
) -> io::Result<()> {
    let (queue, queued) = mpsc::channel(QUEUED_CHUNKS_MAX);
    let read = read_chunks(shared, flow, from, queue);
    let write = write_chunks(shared.faults.subscribe(), flow, to, queued);
    tokio::try_join!(read, write)?;
    Ok(())
}

async fn read_chunks(
    shared: &Shared,
    flow: Flow,
    mut from: impl AsyncRead + Unpin,
    queue: mpsc::Sender<Delayed>,
) -> io::Result<()> {
    let mut faults = shared.faults.subscribe();
    loop {
        let delay = wait_until_uncut(&mut faults, flow).await?.delay;
        let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
        tokio::select! {
            biased;
            _ = faults.changed() => {}
            read = from.read_buf(&mut chunk) => {
                if read? == 0 {
                    return Ok(());
                }
                let due = Instant::now() + shared.latency_of(flow.source) + delay;
                let delayed = Delayed { due, bytes: chunk.freeze() };
                queue.send(delayed).await.map_err(|_| io::ErrorKind::BrokenPipe)?;
            }
        }
    }
}

async fn write_chunks(
    mut faults: watch::Receiver<Faults>,
    flow: Flow,
    mut to: impl AsyncWrite + Unpin,
    mut queued: mpsc::Receiver<Delayed>,
) -> io::Result<()> {
    while let Some(chunk) = queued.recv().await {
        sleep_until(chunk.due).await;
        wait_until_uncut(&mut faults, flow).await?;
        to.write_all(&chunk.bytes).await?;
    }
    wait_until_uncut(&mut faults, flow).await?;
    to.shutdown().await
}

/// Waits until the direction is not cut, and returns the current faults.
async fn wait_until_uncut(faults: &mut watch::Receiver<Faults>, flow: Flow) -> io::Result<Faults> {
    let uncut = faults.wait_for(|faults| !faults.is_cut(flow)).await;
    uncut
        .map(|faults| *faults)
        .map_err(|_| io::ErrorKind::NotConnected.into())
}

//! A TCP proxy that disturbs what passes through it.

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

/// Connections that pass at a time; further ones are closed at once.
const CONNECTIONS_MAX: usize = 4096;

/// The largest chunk that is read at once, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Chunks that wait for their delay in one direction of a connection.
const CHUNKS: usize = 64;

/// How often listening is tried again on the old address.
const LISTEN_TRIES: u32 = 250;

/// The pause between two such tries.
const LISTEN_PAUSE: Duration = Duration::from_millis(20);

/// Sources that can be cut off at a time.
const SOURCES_MAX: usize = 8;

/// A proxy in front of one target; dropping it closes every connection.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

/// A direction through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From whoever connected to the target.
    ToTarget,
    /// From the target back.
    FromTarget,
}

/// What happens to new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Accept {
    /// They are passed on.
    #[default]
    Pass,
    /// They are closed at once.
    Close,
    /// Nobody listens.
    Refuse,
}

/// What is disturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Faults {
    delay: Duration,
    cut_to: bool,
    cut_from: bool,
    cut_sources: [Option<IpAddr>; SOURCES_MAX],
    accept: Accept,
}

/// How far the target is from everybody but one address.
#[derive(Debug, Clone, Copy)]
struct Distance {
    delay: Duration,
    near: IpAddr,
}

/// One direction of a connection that came from some address.
#[derive(Debug, Clone, Copy)]
struct Lane {
    direction: Direction,
    source: IpAddr,
}

#[derive(Debug)]
struct Shared {
    target: Mutex<SocketAddr>,
    distance: Mutex<Option<Distance>>,
    stop: CancellationToken,
    faults: watch::Sender<Faults>,
    present: Mutex<Present>,
    open: AtomicUsize,
    accepted: AtomicUsize,
}

/// What ends the connections that are open at present.
#[derive(Debug, Clone, Default)]
struct Present {
    hush: CancellationToken,
    reset: CancellationToken,
}

impl Proxy {
    /// Starts a proxy on a free port.
    ///
    /// # Errors
    ///
    /// If no port can be listened on.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::new(target),
            distance: Mutex::default(),
            stop: CancellationToken::new(),
            faults: watch::Sender::default(),
            present: Mutex::default(),
            open: AtomicUsize::new(0),
            accepted: AtomicUsize::new(0),
        });
        tokio::spawn(listen(shared.clone(), listener, address));
        Ok(Self { address, shared })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Passes new connections on to another target.
    pub fn set_target(&self, target: SocketAddr) {
        let mut held = self
            .shared
            .target
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *held = target;
    }

    /// Delays all bytes by this time, each way, on connections that do not come from `near`.
    ///
    /// This is where the target is, and no fault that could be healed.
    pub fn set_distance(&self, delay: Duration, near: IpAddr) {
        let mut held = self
            .shared
            .distance
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *held = Some(Distance { delay, near });
    }

    /// Delays all bytes by this time, each way.
    pub fn delay(&self, delay: Duration) {
        self.change(|faults| faults.delay = delay);
    }

    /// Holds back all bytes in one direction, on old and new connections, until healed.
    pub fn cut(&self, direction: Direction) {
        self.change(|faults| match direction {
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
        self.change(|faults| {
            if let Some(free) = faults.cut_sources.iter_mut().find(|cut| cut.is_none()) {
                *free = Some(source);
            }
        });
    }

    /// Makes the connections that are open silent for good; new ones work.
    pub fn hush(&self) {
        let hush = std::mem::take(&mut self.shared.present().hush);
        hush.cancel();
    }

    /// Resets the connections that are open, silent ones included; new ones work.
    pub fn reset(&self) {
        let present = std::mem::take(&mut *self.shared.present());
        present.reset.cancel();
    }

    /// Sets what happens to new connections.
    pub fn accept(&self, accept: Accept) {
        self.change(|faults| faults.accept = accept);
    }

    /// Ends delays, cuts and refusals; connections that were made silent stay so.
    pub fn heal(&self) {
        self.change(|faults| *faults = Faults::default());
    }

    /// Connections that are open, silent ones included.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.shared.open.load(Ordering::Acquire)
    }

    /// Connections accepted so far.
    #[must_use]
    pub fn accepted_connections(&self) -> usize {
        self.shared.accepted.load(Ordering::Acquire)
    }

    fn change(&self, change: impl FnOnce(&mut Faults)) {
        self.shared.faults.send_modify(change);
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

    /// The time that bytes take to or from `source`.
    fn distance_of(&self, source: IpAddr) -> Duration {
        let held = self.distance.lock().unwrap_or_else(PoisonError::into_inner);
        let far = held.filter(|distance| distance.near != source);
        far.map_or(Duration::ZERO, |distance| distance.delay)
    }

    fn present(&self) -> MutexGuard<'_, Present> {
        self.present.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Faults {
    fn is_cut(self, lane: Lane) -> bool {
        let cut = match lane.direction {
            Direction::ToTarget => self.cut_to,
            Direction::FromTarget => self.cut_from,
        };
        cut || self.cut_sources.contains(&Some(lane.source))
    }
}

/// Listens, or does not, as the faults say.
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
                listener = listen_again(address).await;
            }
            let Some(listener) = &listener else {
                return;
            };
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, source)) = accepted {
                    take(&shared, stream, source.ip());
                },
                _ = faults.changed() => {}
            }
        }
    };
    stop.run_until_cancelled(serve).await;
}

async fn listen_again(address: SocketAddr) -> Option<TcpListener> {
    for _ in 0..LISTEN_TRIES {
        if let Ok(listener) = TcpListener::bind(address).await {
            return Some(listener);
        }
        sleep(LISTEN_PAUSE).await;
    }
    None
}

fn take(shared: &Arc<Shared>, stream: TcpStream, source: IpAddr) {
    let closes = shared.faults.borrow().accept == Accept::Close;
    if closes || shared.open.load(Ordering::Acquire) >= CONNECTIONS_MAX {
        return;
    }
    shared.accepted.fetch_add(1, Ordering::AcqRel);
    shared.open.fetch_add(1, Ordering::AcqRel);
    let shared = shared.clone();
    let present = shared.present().clone();
    tokio::spawn(async move {
        let stop = shared.stop.clone();
        stop.run_until_cancelled(pass(&shared, present, stream, source))
            .await;
        shared.open.fetch_sub(1, Ordering::AcqRel);
    });
}

/// Passes one connection until it ends, is reset, or falls silent and is reset later.
async fn pass(shared: &Shared, present: Present, mut near: TcpStream, source: IpAddr) {
    let target = shared.target();
    let Ok(mut far) = TcpStream::connect(target).await else {
        let _ = near.set_zero_linger();
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let ended = tokio::select! {
        biased;
        () = present.reset.cancelled() => Err(io::ErrorKind::ConnectionReset.into()),
        () = present.hush.cancelled() => {
            present.reset.cancelled().await;
            Err(io::ErrorKind::ConnectionReset.into())
        }
        ended = pass_both(shared, source, &mut near, &mut far) => ended,
    };
    if ended.is_err() {
        // Whatever broke one side, the other sees a reset.
        let _ = near.set_zero_linger();
        let _ = far.set_zero_linger();
    }
}

async fn pass_both(
    shared: &Shared,
    source: IpAddr,
    near: &mut TcpStream,
    far: &mut TcpStream,
) -> io::Result<()> {
    let lane = |direction| Lane { direction, source };
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let to = pass_one(shared, lane(Direction::ToTarget), near_read, far_write);
    let from = pass_one(shared, lane(Direction::FromTarget), far_read, near_write);
    tokio::try_join!(to, from)?;
    Ok(())
}

/// A chunk and when it is due.
struct Delayed {
    due: Instant,
    bytes: Bytes,
}

async fn pass_one(
    shared: &Shared,
    lane: Lane,
    from: impl AsyncRead + Unpin,
    to: impl AsyncWrite + Unpin,
) -> io::Result<()> {
    let (queue, queued) = mpsc::channel(CHUNKS);
    let read = read_chunks(shared, lane, from, queue);
    let write = write_chunks(shared.faults.subscribe(), lane, to, queued);
    tokio::try_join!(read, write)?;
    Ok(())
}

async fn read_chunks(
    shared: &Shared,
    lane: Lane,
    mut from: impl AsyncRead + Unpin,
    queue: mpsc::Sender<Delayed>,
) -> io::Result<()> {
    let mut faults = shared.faults.subscribe();
    loop {
        let delay = pass_when_whole(&mut faults, lane).await?.delay;
        let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
        tokio::select! {
            biased;
            _ = faults.changed() => {}
            read = from.read_buf(&mut chunk) => {
                if read? == 0 {
                    return Ok(());
                }
                let due = Instant::now() + shared.distance_of(lane.source) + delay;
                let delayed = Delayed { due, bytes: chunk.freeze() };
                queue.send(delayed).await.map_err(|_| io::ErrorKind::BrokenPipe)?;
            }
        }
    }
}

async fn write_chunks(
    mut faults: watch::Receiver<Faults>,
    lane: Lane,
    mut to: impl AsyncWrite + Unpin,
    mut queued: mpsc::Receiver<Delayed>,
) -> io::Result<()> {
    while let Some(chunk) = queued.recv().await {
        sleep_until(chunk.due).await;
        pass_when_whole(&mut faults, lane).await?;
        to.write_all(&chunk.bytes).await?;
    }
    pass_when_whole(&mut faults, lane).await?;
    to.shutdown().await
}

/// Waits while the direction is cut.
async fn pass_when_whole(faults: &mut watch::Receiver<Faults>, lane: Lane) -> io::Result<Faults> {
    let whole = faults.wait_for(|faults| !faults.is_cut(lane)).await;
    whole
        .map(|faults| *faults)
        .map_err(|_| io::ErrorKind::NotConnected.into())
}

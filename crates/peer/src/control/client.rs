//! The asking side of control calls.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use super::{
    FRAME_MAX, HandOver, Pong, Probe, Relinquish, Snapshot, TIMEOUT, handshake as greeting,
    rpc::ControlClient,
};
use crate::dial::Dial;
use copperwell_keyspace::{HashMap, LogOffset, batch::Batch};
use copperwell_policy::quarantine::Share;
use error_stack::{Report, ResultExt};
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use tarpc::{client, context::Context, serde_transport};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    time::{Instant, timeout_at},
};
use tokio_serde::formats::Bincode;
use tokio_util::{
    codec::LengthDelimitedCodec,
    io::{InspectReader, InspectWriter},
};

/// Connections kept; the one that was used least lately makes room for another.
const CONNECTIONS_MAX: usize = 256;

/// Time after which an unused connection is closed.
const IDLE: Duration = Duration::from_mins(1);

/// The time in which records have to come, beyond the wait for them.
pub const RECORDS_SLACK: Duration = Duration::from_secs(1);

/// Calls under way on one connection.
const CALLS_MAX: usize = 64;

/// A control call without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// No connection could be made.
    Unreachable,
    /// No answer came in time, so the call may have taken effect.
    Silent,
    /// The connection broke during the call, so it may have taken effect.
    Broken,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "the daemon cannot be reached",
            Self::Silent => "the daemon did not answer in time",
            Self::Broken => "the connection to the daemon broke",
        })
    }
}

impl std::error::Error for Error {}

/// Counts what passes through control connections.
#[derive(Debug, Clone, Default)]
struct Traffic {
    bytes: Counter,
}

impl Traffic {
    fn count(&self, stream: TcpStream) -> impl AsyncRead + AsyncWrite + Unpin + use<> {
        let received = self.bytes.clone();
        let sent = self.bytes.clone();
        let stream = InspectReader::new(stream, move |bytes: &[u8]| {
            received.inc_by(bytes.len() as u64);
        });
        InspectWriter::new(stream, move |bytes: &[u8]| {
            sent.inc_by(bytes.len() as u64);
        })
    }
}

/// Calls other daemons; cheap to clone, and clones share connections.
#[derive(Debug, Clone, Default)]
pub struct Client {
    dial: Dial,
    traffic: Traffic,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
}

#[derive(Debug)]
struct Connection {
    client: ControlClient,
    used: Instant,
}

impl Client {
    /// A client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A client without connections, which opens them as `dial` says.
    #[must_use]
    pub fn with_dial(dial: Dial) -> Self {
        Self {
            dial,
            ..Self::default()
        }
    }

    /// Registers the counters.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "control_client_bytes",
            "Bytes sent and received on control connections that this daemon opened",
            self.traffic.bytes.clone(),
        );
    }

    /// Probes a daemon.
    ///
    /// # Errors
    ///
    /// An [`Error`] if no answer came within `timeout`.
    pub async fn probe(
        &self,
        to: SocketAddr,
        probe: Probe,
        timeout: Duration,
    ) -> Result<Pong, Report<Error>> {
        self.call(to, timeout, async |client, context| {
            client.probe(context, probe).await
        })
        .await
    }

    /// Probes `target` from the daemon at `to`; `None` if that daemon gets no answer either.
    ///
    /// # Errors
    ///
    /// An [`Error`] if no answer came within `timeout`.
    pub async fn probe_through(
        &self,
        to: SocketAddr,
        target: SocketAddr,
        timeout: Duration,
    ) -> Result<Option<Pong>, Report<Error>> {
        self.call(to, timeout, async |client, context| {
            client.probe_through(context, target).await
        })
        .await
    }

    /// Reads records of the log from another daemon, which waits up to `wait` if it has none yet.
    ///
    /// # Errors
    ///
    /// An [`Error`] if no answer came within [`RECORDS_SLACK`] after the wait.
    pub async fn records(
        &self,
        to: SocketAddr,
        from: LogOffset,
        wait: Duration,
    ) -> Result<Option<Batch>, Report<Error>> {
        self.call(to, wait + RECORDS_SLACK, async |client, context| {
            client.records(context, from, wait).await
        })
        .await
    }

    /// Reads the agreed state from another daemon.
    ///
    /// # Errors
    ///
    /// An [`Error`] if no answer came within [`TIMEOUT`].
    pub async fn snapshot(&self, to: SocketAddr) -> Result<Option<Snapshot>, Report<Error>> {
        self.call(to, TIMEOUT, async |client, context| {
            client.snapshot(context).await
        })
        .await
    }

    /// Hands a group over to another daemon.
    ///
    /// # Errors
    ///
    /// An [`Error`] if no answer came within [`TIMEOUT`]; the other daemon may lead the group then.
    pub async fn hand_over(
        &self,
        to: SocketAddr,
        hand_over: HandOver,
    ) -> Result<bool, Report<Error>> {
        self.call(to, TIMEOUT, async |client, context| {
            client.hand_over(context, hand_over).await
        })
        .await
    }

    /// Asks an old leader to stop; true if it surely has.
    ///
    /// # Errors
    ///
    /// An [`Error`] if no answer came within [`TIMEOUT`].
    pub async fn relinquish(
        &self,
        to: SocketAddr,
        relinquish: Relinquish,
    ) -> Result<bool, Report<Error>> {
        self.call(to, TIMEOUT, async |client, context| {
            client.relinquish(context, relinquish).await
        })
        .await
    }

    /// Tells another leader which requests crash servers, so that it refuses them too.
    ///
    /// # Errors
    ///
    /// An [`Error`] if no answer came within [`TIMEOUT`].
    pub async fn quarantine(
        &self,
        to: SocketAddr,
        shares: Vec<Share>,
    ) -> Result<(), Report<Error>> {
        self.call(to, TIMEOUT, async |client, context| {
            client.quarantine(context, shares).await
        })
        .await
    }

    async fn call<T>(
        &self,
        to: SocketAddr,
        timeout: Duration,
        call: impl AsyncFnOnce(ControlClient, Context) -> Result<T, client::RpcError>,
    ) -> Result<T, Report<Error>> {
        let deadline = Instant::now() + timeout;
        let client = self.connection(to, deadline).await?;
        let mut context = Context::current();
        context.deadline = deadline.into_std();
        match timeout_at(deadline, call(client, context)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(failure)) => {
                self.forget(to);
                let error = match failure {
                    client::RpcError::DeadlineExceeded => Error::Silent,
                    _ => Error::Broken,
                };
                Err(Report::new(failure).change_context(error).attach(to))
            }
            Err(_) => {
                // A connection that went silent stays so; the next call makes a fresh one.
                self.forget(to);
                Err(Report::new(Error::Silent).attach(to))
            }
        }
    }

    async fn connection(
        &self,
        to: SocketAddr,
        deadline: Instant,
    ) -> Result<ControlClient, Report<Error>> {
        if let Some(connection) = self.lock().get_mut(&to) {
            connection.used = Instant::now();
            return Ok(connection.client.clone());
        }
        let stream = timeout_at(deadline, self.dial.connect(to))
            .await
            .change_context(Error::Unreachable)
            .attach(to)?
            .change_context(Error::Unreachable)
            .attach(to)?;
        let mut stream = self.traffic.count(stream);
        timeout_at(deadline, greeting::write(&mut stream))
            .await
            .change_context(Error::Unreachable)
            .attach(to)?
            .change_context(Error::Unreachable)
            .attach(to)?;
        let framed = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_MAX)
            .new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        let mut config = client::Config::default();
        config.max_in_flight_requests = CALLS_MAX;
        let client = ControlClient::new(config, transport).spawn();
        self.keep(to, client.clone());
        Ok(client)
    }

    fn keep(&self, to: SocketAddr, client: ControlClient) {
        let used = Instant::now();
        let mut connections = self.lock();
        connections.retain(|_, connection| connection.used.elapsed() < IDLE);
        if connections.len() >= CONNECTIONS_MAX {
            let oldest = connections.iter().min_by_key(|(_, kept)| kept.used);
            let oldest = oldest.map(|(address, _)| *address);
            connections.retain(|address, _| Some(*address) != oldest);
        }
        connections.insert(to, Connection { client, used });
    }

    fn forget(&self, to: SocketAddr) {
        self.lock().remove(&to);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

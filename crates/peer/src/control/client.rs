//! The client side of control calls.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use super::{
    CALL_TIMEOUT, FRAME_MAX_BYTES, HandOver, Pong, Probe, Relinquish, Snapshot, handshake,
    rpc::ControlClient,
};
use crate::dial::Dialer;
use copperwell_keyspace::{HashMap, LogOffset, batch::Batch};
use copperwell_policy::quarantine::Conviction;
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

/// Maximum number of cached connections; beyond it the least recently used one is evicted.
const CONNECTIONS_MAX: usize = 256;

/// Time after which an unused connection is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Time allowed for a response with records, in addition to the server's wait for them.
pub const RECORDS_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Maximum number of in-flight calls on one connection.
const IN_FLIGHT_MAX: usize = 64;

/// The reason why a control call got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// No connection could be established.
    Unreachable,
    /// No response arrived in time; the call may have taken effect.
    TimedOut,
    /// The connection was lost during the call; the call may have taken effect.
    ConnectionLost,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "could not connect to the daemon",
            Self::TimedOut => "the control call timed out; it may have taken effect",
            Self::ConnectionLost => {
                "the connection to the daemon was lost during the call, which may have taken effect"
            }
        })
    }
}

impl std::error::Error for Error {}

/// Counts the bytes on control connections.
#[derive(Debug, Clone, Default)]
struct Traffic {
    bytes: Counter,
}

impl Traffic {
    fn count_bytes(&self, stream: TcpStream) -> impl AsyncRead + AsyncWrite + Unpin + use<> {
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
    dialer: Dialer,
    traffic: Traffic,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
}

#[derive(Debug)]
struct Connection {
    client: ControlClient,
    last_used: Instant,
}

impl Client {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a client that opens its connections with `dialer`.
    #[must_use]
    pub fn with_dialer(dialer: Dialer) -> Self {
        Self {
            dialer,
            ..Self::default()
        }
    }

    /// Registers the counter of bytes.
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
    /// Returns an [`Error`] if no response arrived within `timeout`.
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

    /// Has the daemon at `to` probe `target`; `None` if that probe gets no response.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no response arrived within `timeout`.
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
    /// Returns an [`Error`] if no response arrived within [`RECORDS_TIMEOUT_MARGIN`] after the wait.
    pub async fn records(
        &self,
        to: SocketAddr,
        from: LogOffset,
        wait: Duration,
    ) -> Result<Option<Batch>, Report<Error>> {
        self.call(
            to,
            wait + RECORDS_TIMEOUT_MARGIN,
            async |client, context| client.records(context, from, wait).await,
        )
        .await
    }

    /// Reads a snapshot of the replicated state from another daemon.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no response arrived within [`CALL_TIMEOUT`].
    pub async fn snapshot(&self, to: SocketAddr) -> Result<Option<Snapshot>, Report<Error>> {
        self.call(to, CALL_TIMEOUT, async |client, context| {
            client.snapshot(context).await
        })
        .await
    }

    /// Hands leadership of a group over to another daemon; false if it refuses.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no response arrived within [`CALL_TIMEOUT`]; the other daemon may
    /// lead the group nevertheless.
    pub async fn hand_over(
        &self,
        to: SocketAddr,
        hand_over: HandOver,
    ) -> Result<bool, Report<Error>> {
        self.call(to, CALL_TIMEOUT, async |client, context| {
            client.hand_over(context, hand_over).await
        })
        .await
    }

    /// Asks a former leader to stop; true if it is known to have stopped.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no response arrived within [`CALL_TIMEOUT`].
    pub async fn relinquish(
        &self,
        to: SocketAddr,
        relinquish: Relinquish,
    ) -> Result<bool, Report<Error>> {
        self.call(to, CALL_TIMEOUT, async |client, context| {
            client.relinquish(context, relinquish).await
        })
        .await
    }

    /// Sends another leader the requests that crash servers, so that it quarantines them too.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no response arrived within [`CALL_TIMEOUT`].
    pub async fn quarantine(
        &self,
        to: SocketAddr,
        convictions: Vec<Conviction>,
    ) -> Result<(), Report<Error>> {
        self.call(to, CALL_TIMEOUT, async |client, context| {
            client.quarantine(context, convictions).await
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
            Ok(Ok(response)) => Ok(response),
            Ok(Err(failure)) => {
                self.evict(to);
                let error = match failure {
                    client::RpcError::DeadlineExceeded => Error::TimedOut,
                    _ => Error::ConnectionLost,
                };
                Err(Report::new(failure).change_context(error).attach(to))
            }
            Err(_) => {
                // A connection that stopped responding does not recover; the next call opens a
                // fresh one.
                self.evict(to);
                Err(Report::new(Error::TimedOut).attach(to))
            }
        }
    }

    async fn connection(
        &self,
        to: SocketAddr,
        deadline: Instant,
    ) -> Result<ControlClient, Report<Error>> {
        if let Some(connection) = self.lock().get_mut(&to) {
            connection.last_used = Instant::now();
            return Ok(connection.client.clone());
        }
        let stream = timeout_at(deadline, self.dialer.connect(to))
            .await
            .change_context(Error::Unreachable)
            .attach(to)?
            .change_context(Error::Unreachable)
            .attach(to)?;
        let mut stream = self.traffic.count_bytes(stream);
        timeout_at(deadline, handshake::write(&mut stream))
            .await
            .change_context(Error::Unreachable)
            .attach(to)?
            .change_context(Error::Unreachable)
            .attach(to)?;
        let framed = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_MAX_BYTES)
            .new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        let mut config = client::Config::default();
        config.max_in_flight_requests = IN_FLIGHT_MAX;
        let client = ControlClient::new(config, transport).spawn();
        self.cache(to, client.clone());
        Ok(client)
    }

    fn cache(&self, to: SocketAddr, client: ControlClient) {
        let last_used = Instant::now();
        let mut connections = self.lock();
        connections.retain(|_, connection| connection.last_used.elapsed() < IDLE_TIMEOUT);
        if connections.len() >= CONNECTIONS_MAX {
            let oldest = connections
                .iter()
                .min_by_key(|(_, cached)| cached.last_used);
            let oldest = oldest.map(|(address, _)| *address);
            connections.retain(|address, _| Some(*address) != oldest);
        }
        connections.insert(to, Connection { client, last_used });
    }

    fn evict(&self, to: SocketAddr) {
        self.lock().remove(&to);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

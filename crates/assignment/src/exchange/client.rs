//! Calls to another daemon.

use std::{net::SocketAddr, time::Duration};

use super::{FRAME_MAX, LONG_POLL_TIMEOUT, Request, Response, RpcClient};
use crate::{
    lease::LeaderEntry,
    reach::Helper,
    store_state::Newest,
    transfer::{Chunk, ENCODED_BYTES_MAX},
    warmup::Request as WarmupRequest,
};
use copperwell_routing::{
    evacuation::{self, Evacuations},
    limit::Entry,
    quarantine::Entry as Suspect,
};
use tarpc::{
    client::{self, RpcError},
    context,
    serde_transport::tcp,
    tokio_serde::formats::Bincode,
};
use tokio::time::timeout;

/// How much longer than [`LONG_POLL_TIMEOUT`] an exchange may take, and the timeout of other calls.
const CALL_MARGIN: Duration = Duration::from_millis(600);

/// The timeout of a call for which a caller's request, or a newer configuration, waits.
const URGENT_TIMEOUT: Duration = Duration::from_millis(200);

/// The timeout of a part of a configuration.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout of a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection to another daemon, usually the leader.
#[derive(Debug)]
pub struct Client {
    client: RpcClient,
}

/// Why a request for a reservation got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveError {
    /// No answer arrived in time.
    TimedOut,
    /// The connection has failed.
    Closed,
}

impl Client {
    /// Opens a connection; `None` if the daemon is unreachable.
    pub async fn connect(to: SocketAddr) -> Option<Self> {
        let mut connect = tcp::connect(to, Bincode::default);
        connect.config_mut().max_frame_length(FRAME_MAX);
        let transport = timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
        let client = RpcClient::new(client::Config::default(), transport).spawn();
        Some(Self { client })
    }

    /// Announces the new leader to an earlier one; `false` if that does not answer.
    pub async fn announce_successor(&self, leader: LeaderEntry) -> bool {
        let call = |context| self.client.announce_successor(context, leader);
        within(CALL_MARGIN, call).await.is_some()
    }

    /// Reports requests that may crash upstreams; returns whether the leader has taken the report.
    pub async fn report_crashes(&self, entries: Vec<Suspect>) -> bool {
        let call = |context| self.client.report_crashes(context, entries);
        within(CALL_MARGIN, call).await.unwrap_or(false)
    }

    /// Reserves a request to an upstream with a limit, as [`SharedLimits::acquire`] does; `None` if the daemon
    /// does not answer or does not lead.
    pub(crate) async fn reserve(
        &self,
        limit: Entry,
        patience: Duration,
    ) -> Option<Result<Duration, Duration>> {
        let call = |context| self.client.reserve(context, limit, patience);
        within(URGENT_TIMEOUT, call).await?
    }

    /// Reserves a request to an upstream that warms up.
    ///
    /// Returns the time until the request is due, or as the inner error the time until it would be due if that exceeds
    /// its `wait_max`. Returns `None` if the daemon does not lead.
    ///
    /// # Errors
    ///
    /// [`ReserveError`] if the daemon does not answer. A daemon of an earlier release closes the connection.
    pub async fn reserve_warmup(
        &self,
        request: WarmupRequest,
    ) -> Result<Option<Result<Duration, Duration>>, ReserveError> {
        let mut context = context::current();
        context.deadline = std::time::Instant::now() + URGENT_TIMEOUT;
        let call = self.client.reserve_warmup(context, request);
        match timeout(URGENT_TIMEOUT, call).await {
            Ok(Ok(result)) => Ok(result),
            Err(_) | Ok(Err(RpcError::DeadlineExceeded)) => Err(ReserveError::TimedOut),
            Ok(Err(_)) => Err(ReserveError::Closed),
        }
    }

    /// Returns the addresses of the daemons that should lead next; `None` if the daemon does not answer.
    pub async fn successors(&self) -> Option<Vec<SocketAddr>> {
        within(CALL_MARGIN, |context| self.client.successors(context)).await
    }

    /// Returns what the daemon knows of the newest configuration, if anything; `None` if it does not answer.
    pub async fn newest_configuration(&self) -> Option<Option<Newest>> {
        let call = |context| self.client.newest_configuration(context);
        within(URGENT_TIMEOUT, call).await
    }

    /// Reports which upstreams this daemon reaches; returns daemons that accept its requests, or `None` if the
    /// daemon does not lead or does not answer.
    pub async fn report_reach(&self, report: Helper) -> Option<Vec<Helper>> {
        within(CALL_MARGIN, |context| {
            self.client.report_reach(context, report)
        })
        .await?
    }

    /// Waits for at most `wait` for evacuations of a later version than `known`, and returns what the daemon knows;
    /// `None` if it does not answer.
    pub async fn evacuations(
        &self,
        known: evacuation::Version,
        wait: Duration,
    ) -> Option<Evacuations> {
        let call = |context| self.client.evacuations(context, known, wait);
        within(wait + CALL_MARGIN, call).await
    }

    /// Reads a configuration, as the difference from `known`; `None` if the daemon does not have it or does not
    /// answer. `on_progress` is called for each part that arrives.
    pub async fn read_configuration(
        &self,
        known: u64,
        version: u64,
        on_progress: impl Fn(),
    ) -> Option<Vec<u8>> {
        let mut encoded = Vec::new();
        loop {
            let start = encoded.len();
            let call = |context| {
                self.client
                    .read_configuration(context, known, version, start)
            };
            let chunk: Chunk = within(CHUNK_TIMEOUT, call).await??;
            encoded.extend(&chunk.bytes);
            on_progress();
            if encoded.len() >= chunk.length {
                return Some(encoded);
            }
            if chunk.bytes.is_empty() || chunk.length > ENCODED_BYTES_MAX {
                return None;
            }
        }
    }

    /// Sends a request to the leader; `None` if it does not answer.
    pub async fn exchange(&self, request: Request) -> Option<Response> {
        let limit = LONG_POLL_TIMEOUT + CALL_MARGIN;
        within(limit, |context| self.client.exchange(context, request)).await
    }
}

/// Makes a call with a timeout; `None` if it is not answered in time.
async fn within<T>(
    limit: Duration,
    call: impl AsyncFnOnce(context::Context) -> Result<T, RpcError>,
) -> Option<T> {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + limit;
    timeout(limit, call(context)).await.ok()?.ok()
}

//! The RPC between the leader and the other daemons: load reports one way, routing tables the
//! other.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::{
    DaemonName,
    demand::Report,
    lease::{Lapse, LeaderEntry},
    limits::{SharedLimits, Snapshot as LimitSnapshot},
    quarantine::{SharedQuarantine, Snapshot},
    reach::{Helper, Keyed},
    shared,
    store_state::{Delta, ListVersion, Newest, StoreState},
    table::{RoutingTables, Version},
    transfer::Chunk,
    update::Update,
    warmup::{Request as WarmupRequest, SharedWarmups},
};
use copperwell_routing::{
    Incarnation, UpstreamId,
    evacuation::{self, Evacuations},
    limit::Entry,
    quarantine::Entry as Suspect,
};
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use tarpc::{
    context,
    serde_transport::tcp,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time::timeout,
};

pub use client::{Client, ReserveError};
pub(crate) use peers::{CANDIDATES_MAX, Candidate};

use peers::State;

mod client;
mod peers;

/// How long the leader waits for newer data before it answers without any.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a daemon waits for a change of the evacuations before it answers without one.
pub(crate) const EVACUATIONS_TIMEOUT: Duration = Duration::from_secs(4);

/// The longest message, in bytes.
const FRAME_MAX: usize = 4 << 20;

/// The maximum number of queued reports.
const REPORTS_MAX: usize = 1024;

/// A daemon's request to the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Request {
    /// The name of the daemon.
    pub from: DaemonName,
    /// Its share of a processor, in thousandths.
    pub strength: u32,
    /// The version of the tables that it has.
    pub knows: Version,
    /// The version of its tables if they come from a leader, so that the leader can send just the
    /// changes since.
    pub base: Option<Version>,
    /// The address at which it accepts calls.
    pub address: SocketAddr,
    /// The version of the configuration that it has.
    pub configuration: u64,
    /// The latest version of the configuration of which it knows.
    pub announced: u64,
    /// The list of upstreams that it has.
    pub list: ListVersion,
    /// How long ago it last read the store; `None` if it never did.
    pub store_age: Option<Duration>,
    /// The load that it counted since its last call.
    pub reports: Vec<Report>,
    /// The version of the quarantine that it has from this leader; 0 for none.
    pub quarantine: u64,
    /// The limits of upstreams that it observed since its last call.
    pub limits: Vec<Entry>,
    /// The version of the limits that it has from this leader; 0 for none.
    pub limits_version: u64,
}

/// Whether a daemon leads, as it announces to the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It does not lead.
    #[default]
    Follows,
    /// It leads.
    Leads,
    /// It leads, but its lease has lapsed.
    Lapsed(Lapse),
}

/// The leader's response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Response {
    /// Whether the responding daemon leads; it may have stopped since the call.
    pub standing: Standing,
    /// The daemons that should lead next, in order of preference.
    #[serde(rename = "heirs")]
    pub candidates: Vec<DaemonName>,
    /// A later leader, if it has announced itself to the responding daemon.
    pub successor: Option<LeaderEntry>,
    /// How many daemons have called recently, the leader included.
    pub daemons: u32,
    /// The tables, if they are newer.
    pub tables: Option<Update>,
    /// The leader's data from the store that the daemon lacks.
    #[serde(rename = "news")]
    pub delta: Option<Delta>,
    /// Daemons that have the newest configuration, if the daemon lacks it.
    pub holders: Vec<SocketAddr>,
    /// The requests that may crash upstreams, if there are changes.
    pub quarantine: Option<Snapshot>,
    /// The limits of upstreams, if there are changes.
    pub limits: Option<LimitSnapshot>,
}

#[tarpc::service]
trait Rpc {
    /// Reports load and asks for newer tables.
    async fn exchange(request: Request) -> Response;

    /// Reports requests that may crash upstreams; returns whether the daemon leads and has taken the
    /// report.
    async fn report_crashes(entries: Vec<Suspect>) -> bool;

    /// Reserves a request to an upstream with a limit, if it is due within `patience`; returns how long it has
    /// to wait, or would have to. Returns `None` if the daemon does not lead.
    async fn reserve(limit: Entry, patience: Duration) -> Option<Result<Duration, Duration>>;

    /// Returns a part of the difference from a version of the configuration to a later one.
    async fn read_configuration(known: u64, version: u64, start: usize) -> Option<Chunk>;

    /// Announces to a leader that another daemon has taken over. A leader that is cut off from the
    /// store cannot find out by itself, nor can the daemons that are cut off with it and ask it.
    async fn announce_successor(leader: LeaderEntry);

    /// Returns the addresses of the daemons that should lead next, in order of preference.
    async fn successors() -> Vec<SocketAddr>;

    /// Returns what the daemon knows of the newest configuration; `None` before it has read one.
    async fn newest_configuration() -> Option<Newest>;

    /// Reports which upstreams a daemon reaches; returns daemons that accept its requests. Returns `None` if the
    /// daemon does not lead.
    async fn report_reach(report: Helper) -> Option<Vec<Helper>>;

    /// Waits for at most `wait` for evacuations of a later version than `known`, and returns what the daemon knows.
    async fn evacuations(known: evacuation::Version, wait: Duration) -> Evacuations;

    /// Reserves a request to an upstream that warms up, if it is due within the request's `wait_max`. Returns the time
    /// until it is due, or as an error the time until it would be due; `None` if the daemon does not lead.
    async fn reserve_warmup(request: WarmupRequest) -> Option<Result<Duration, Duration>>;
}

/// The server side of the exchange, which exists whether or not this daemon leads.
#[derive(Debug, Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

/// The state that all clones of a server share.
#[derive(Debug)]
struct Shared {
    routing_tables: Arc<RoutingTables>,
    store_state: Arc<StoreState>,
    quarantine: Arc<SharedQuarantine>,
    limits: Arc<SharedLimits>,
    evacuations: Arc<watch::Sender<Evacuations>>,
    warmups: Arc<SharedWarmups>,
    reports: mpsc::Sender<Vec<Report>>,
    state: Mutex<State>,
}

impl Server {
    /// Creates the server side from the state that the daemon shares, and the channel on which
    /// reports arrive.
    #[must_use]
    pub fn new(shared: &shared::Shared) -> (Self, mpsc::Receiver<Vec<Report>>) {
        let (reports, report_receiver) = mpsc::channel(REPORTS_MAX);
        let shared = Shared {
            routing_tables: shared.routing_tables.clone(),
            store_state: shared.store_state.clone(),
            quarantine: shared.quarantine.clone(),
            limits: shared.limits.clone(),
            evacuations: shared.evacuations.clone(),
            warmups: shared.warmups.clone(),
            reports,
            state: Mutex::default(),
        };
        let shared = Arc::new(shared);
        (Self { shared }, report_receiver)
    }

    /// Sets the status that this daemon announces to the others.
    pub fn set_standing(&self, standing: Standing) {
        let leads = standing == Standing::Leads;
        self.shared.warmups.set_leading(leads);
        self.state().standing = standing;
    }

    /// Returns the newest leader that has announced itself to this daemon.
    #[must_use]
    pub fn successor(&self) -> Option<LeaderEntry> {
        self.state().successor.clone()
    }

    /// Returns how many daemons have called recently, this one included.
    #[must_use]
    pub fn daemons(&self) -> u32 {
        u32::try_from(self.state().count()).unwrap_or(u32::MAX) + 1
    }

    /// Returns the daemon that has called recently and should lead next, if there is one.
    pub(crate) fn first_candidate(&self) -> Option<Candidate> {
        self.ranked().into_iter().next()
    }

    /// Returns the incarnations of upstreams that have said to any daemon that they leave.
    pub(crate) fn leaving(&self) -> Vec<(UpstreamId, Incarnation)> {
        self.state().reports.leaving()
    }

    /// Reports which upstreams this daemon reaches, which leads, and by which daemons are compared as leaders; returns
    /// daemons that accept its requests.
    pub(crate) fn report_own_reach(&self, report: Helper, keyed: Keyed) -> Vec<Helper> {
        let upstreams = self.shared.store_state.upstream_count();
        let mut state = self.state();
        state.own_name = Some(report.name.clone());
        state.keyed = keyed;
        let helpers = state.helpers(&report, upstreams);
        state.reports.add(report);
        helpers
    }

    /// Returns the daemons that have called recently and should lead next, in order of preference.
    #[must_use]
    pub fn candidates(&self) -> Vec<DaemonName> {
        self.ranked().into_iter().map(|one| one.name).collect()
    }

    fn ranked(&self) -> Vec<Candidate> {
        self.state().candidates()
    }

    /// Serves calls until the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the listening socket fails.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        let mut incoming = tcp::listen_on(listener, Bincode::default).await?;
        incoming.config_mut().max_frame_length(FRAME_MAX);
        while let Some(connection) = incoming.next().await {
            let Ok(transport) = connection else { continue };
            let channel = BaseChannel::with_defaults(transport);
            let serving = channel.execute(self.clone().serve_rpc());
            tokio::spawn(serving.for_each(|response| async move {
                tokio::spawn(response);
            }));
        }
        Ok(())
    }

    fn serve_rpc(self) -> ServeRpc<Self> {
        Rpc::serve(self)
    }

    /// Returns how long ago another daemon last read the store, if that is known.
    #[must_use]
    pub fn store_age(&self) -> Option<Duration> {
        self.state().store_read_at.map(|at| at.elapsed())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Rpc for Server {
    async fn exchange(self, _: context::Context, request: Request) -> Response {
        let shared = &self.shared;
        if self.state().standing == Standing::Leads {
            self.state().record_peer(&request);
            shared.limits.merge(&request.limits);
            if !request.reports.is_empty() {
                // If the leader cannot keep up, some load reports are dropped.
                let _ = shared.reports.try_send(request.reports);
            }
            let newer = async {
                tokio::select! {
                    () = shared.routing_tables.newer_than(request.knows) => {}
                    () = shared.store_state.newer_than(request.announced, request.list) => {}
                    () = shared.quarantine.wait_newer_than(request.quarantine) => {}
                    () = shared.limits.wait_newer_than(request.limits_version) => {}
                }
            };
            let _ = timeout(LONG_POLL_TIMEOUT, newer).await;
        }
        // A separate statement, so that the lock is released before the calls below take it again.
        let standing = self.state().standing;
        let (store_state, known) = (&shared.store_state, request.list);
        let delta = match standing {
            Standing::Leads | Standing::Lapsed(_) => {
                store_state.delta_for(request.configuration, known)
            }
            Standing::Follows => store_state.successor_delta_for(request.configuration, known),
        };
        Response {
            standing,
            candidates: self.candidates(),
            successor: self.successor(),
            daemons: self.daemons(),
            tables: shared.routing_tables.update(request.knows, request.base),
            holders: match &delta {
                Some(delta) if request.configuration < delta.configuration => {
                    self.state().holders(delta.configuration)
                }
                _ => Vec::new(),
            },
            delta,
            quarantine: shared.quarantine.newer_than(request.quarantine),
            limits: shared.limits.newer_than(request.limits_version),
        }
    }

    async fn read_configuration(
        self,
        _: context::Context,
        known: u64,
        version: u64,
        start: usize,
    ) -> Option<Chunk> {
        self.shared.store_state.chunk(known, version, start)
    }

    async fn reserve(
        self,
        _: context::Context,
        limit: Entry,
        patience: Duration,
    ) -> Option<Result<Duration, Duration>> {
        let leads = self.state().standing == Standing::Leads;
        leads.then(|| self.shared.limits.reserve_for(&limit, patience))
    }

    async fn report_crashes(self, _: context::Context, entries: Vec<Suspect>) -> bool {
        let leads = self.state().standing == Standing::Leads;
        if leads {
            self.shared.quarantine.merge_report(&entries);
        }
        leads
    }

    async fn announce_successor(self, _: context::Context, leader: LeaderEntry) {
        let mut state = self.state();
        let successor = &mut state.successor;
        if successor
            .as_ref()
            .is_none_or(|current| current.term < leader.term)
        {
            *successor = Some(leader);
        }
    }

    async fn successors(self, _: context::Context) -> Vec<SocketAddr> {
        self.ranked().iter().map(|one| one.address).collect()
    }

    async fn report_reach(self, _: context::Context, report: Helper) -> Option<Vec<Helper>> {
        if self.state().standing != Standing::Leads {
            return None;
        }
        let upstreams = self.shared.store_state.upstream_count();
        let mut state = self.state();
        let helpers = state.helpers(&report, upstreams);
        state.reports.add(report);
        Some(helpers)
    }

    async fn evacuations(
        self,
        _: context::Context,
        known: evacuation::Version,
        wait: Duration,
    ) -> Evacuations {
        let mut evacuations = self.shared.evacuations.subscribe();
        let changed = evacuations.wait_for(|current| current.version > known);
        let _ = timeout(wait.min(EVACUATIONS_TIMEOUT), changed).await;
        evacuations.borrow().clone()
    }

    async fn newest_configuration(self, _: context::Context) -> Option<Newest> {
        self.shared.store_state.newest_configuration()
    }

    async fn reserve_warmup(
        self,
        _: context::Context,
        request: WarmupRequest,
    ) -> Option<Result<Duration, Duration>> {
        self.shared.warmups.reserve_for(&request)
    }
}

//! State that the driver shares with the rest of the daemon.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32},
    },
};

use crate::{
    demand::Counts, limits::SharedLimits, quarantine::SharedQuarantine, reach::Helper,
    store_state::StoreState, table::RoutingTables, warmup::SharedWarmups,
};
use copperwell_routing::{Incarnation, UpstreamId, evacuation::Evacuations};
use tokio::sync::watch;

/// A configuration that other daemons have.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Offer {
    /// Its version.
    pub version: u64,
    /// The daemons that have it, the leader last.
    pub holders: Vec<SocketAddr>,
}

/// State that the driver shares with the rest of the daemon.
#[derive(Debug, Clone)]
pub struct Shared {
    /// The tables by which requests are routed.
    pub routing_tables: Arc<RoutingTables>,
    /// The load and the latencies that this daemon counts.
    pub load_counts: Arc<Counts>,
    /// The number of daemons; 0 if it is unknown.
    pub daemons: Arc<AtomicU32>,
    /// This daemon's data from the store, for other daemons.
    pub store_state: Arc<StoreState>,
    /// The quarantine of requests that crash upstreams.
    pub quarantine: Arc<SharedQuarantine>,
    /// The limits that upstreams name.
    pub limits: Arc<SharedLimits>,
    /// The requests to upstreams that warm up.
    pub warmups: Arc<SharedWarmups>,
    /// Whether this daemon has looked for a leader, or need not wait for that since it was
    /// restarted. From then on it follows one, or must read the store itself.
    pub has_looked_for_leader: Arc<watch::Sender<bool>>,
    /// The last offer of a configuration that this daemon lacks.
    pub offer: Arc<watch::Sender<Offer>>,
    /// The upstreams to which this daemon can open no connection, or none that is answered, in order.
    pub lost: Arc<watch::Sender<Vec<UpstreamId>>>,
    /// The incarnations of upstreams that have said to this daemon that they leave.
    pub leaving: Arc<watch::Sender<Vec<(UpstreamId, Incarnation)>>>,
    /// Daemons that accept this daemon's requests to upstreams that it does not reach.
    pub helpers: Arc<watch::Sender<Vec<Helper>>>,
    /// The evacuated data centres, as far as this daemon knows.
    pub evacuations: Arc<watch::Sender<Evacuations>>,
    /// The addresses of the daemons that should lead next, which pass configurations on while there is no leader. It is
    /// empty at these daemons, which read the store themselves, and at the leader.
    pub successors: Arc<watch::Sender<Vec<SocketAddr>>>,
    /// Whether this daemon must read the list of upstreams: it has never read the list itself, and
    /// cannot lead without it.
    pub needs_upstream_list: Arc<AtomicBool>,
    /// Whether others get their lists of upstreams from this daemon: it leads, or should lead next.
    pub reads_for_others: Arc<AtomicBool>,
}

impl Shared {
    /// Creates the shared state of a daemon in its run `run`.
    #[must_use]
    pub fn new(run: u64) -> Self {
        let daemons = Arc::<AtomicU32>::default();
        Self {
            routing_tables: Arc::default(),
            load_counts: Arc::default(),
            limits: Arc::new(SharedLimits::new(daemons.clone())),
            daemons,
            store_state: Arc::new(StoreState::new(run)),
            quarantine: Arc::default(),
            warmups: Arc::default(),
            has_looked_for_leader: Arc::new(watch::Sender::new(false)),
            offer: Arc::default(),
            evacuations: Arc::default(),
            successors: Arc::default(),
            lost: Arc::default(),
            leaving: Arc::default(),
            helpers: Arc::default(),
            needs_upstream_list: Arc::default(),
            reads_for_others: Arc::default(),
        }
    }

    /// Waits until this daemon has looked for a leader, has received data from one, or need not wait
    /// for that since it was restarted.
    pub async fn wait_for_leader_lookup(&self) {
        // `self` owns the sender, so the channel stays open.
        let _ = self
            .has_looked_for_leader
            .subscribe()
            .wait_for(|has_looked| *has_looked)
            .await;
    }
}

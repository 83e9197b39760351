//! State shared by the daemon's tasks.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{metrics::Metrics, network::Router};
use copperwell_backend::{Control, Forward};
use copperwell_dispatch::{Engine, table::Table};
use copperwell_keyspace::{DaemonName, HashSet, LogOffset, Member, batch::Batch, replay::State};
use copperwell_log::follow::{Held, View};
use copperwell_ownership::Groups;
use copperwell_peer::{
    control::{HandOver, Handler, Pong, Probe, RECORDS_MAX_BYTES, Relinquish, Snapshot},
    members::Members,
};
use copperwell_policy::{listing::Need, quarantine::Conviction, window::Export};
use tokio::sync::watch;

/// With fewer live members, this daemon included, there may be others that only the list of VMs
/// contains.
const LIVE_MIN: usize = 2;

/// State shared by the daemon's tasks.
pub(crate) struct Core<C, F> {
    pub(crate) me: Member,
    pub(crate) retained_log: Held,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) members: Arc<Members>,
    pub(crate) groups: Groups<C>,
    pub(crate) engine: Arc<Engine<F>>,
    pub(crate) table: Arc<Table>,
    pub(crate) router: Arc<Router<F>>,
    pub(crate) metrics: Metrics,
    pub(crate) leaving: AtomicBool,
}

impl<C: Control, F: Forward> Core<C, F> {
    /// Returns the replicated state as last read from the log.
    pub(crate) fn state(&self) -> Arc<State> {
        self.view.borrow().state.clone()
    }

    /// Returns whether the daemon is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Returns why the platform's list of VMs should be read again, given the VMs that it contained
    /// when last read.
    pub(crate) fn vm_list_need(&self, listed: &HashSet<DaemonName>) -> Need {
        if self.groups.status().iter().any(|status| status.waits) {
            return Need::Evidence;
        }
        let roster = self.members.roster().borrow().clone();
        let live = roster.live();
        let is_missing = live.iter().any(|member| !listed.contains(&member.name));
        if is_missing || live.len() < LIVE_MIN {
            Need::Unlisted
        } else {
            Need::Routine
        }
    }

    /// Returns the daemons of this data centre that are alive and not leaving, ordered by name.
    pub(crate) fn live_in_data_centre(&self) -> Vec<Member> {
        let mut live = self.live();
        live.retain(|member| member.data_centre == self.me.data_centre);
        live
    }

    /// Returns the daemons that are alive and not leaving, ordered by name.
    pub(crate) fn live(&self) -> Vec<Member> {
        let roster = self.members.roster().borrow().clone();
        let mut live: Vec<Member> = roster
            .live()
            .into_iter()
            .filter(|member| {
                roster
                    .members
                    .get(&member.name)
                    .is_some_and(|seen| !seen.leaving)
            })
            .cloned()
            .collect();
        live.sort_by(|one, other| one.name.cmp(&other.name));
        live
    }
}

impl<C: Control, F: Forward> Handler for Core<C, F> {
    async fn probe(&self, probe: Probe) -> Pong {
        self.members.handle_probe(probe)
    }

    async fn probe_through(&self, target: SocketAddr) -> Option<Pong> {
        self.members.probe_through(target).await
    }

    async fn records(&self, from: LogOffset, wait: Duration) -> Option<Batch> {
        let mut batch = self.retained_log.records(from, wait).await.ok()?;
        let mut remaining_bytes = RECORDS_MAX_BYTES;
        batch.records.retain(|entry| {
            let fits = remaining_bytes > 0;
            remaining_bytes = remaining_bytes.saturating_sub(entry.bytes.len());
            fits
        });
        Some(batch)
    }

    async fn snapshot(&self) -> Option<Snapshot> {
        let snapshot = self.retained_log.snapshot().ok()?;
        Some(Snapshot {
            next: snapshot.next,
            state: snapshot.state.encode().ok()?,
        })
    }

    async fn hand_over(&self, hand_over: HandOver) -> bool {
        if self.is_leaving() {
            return false;
        }
        if let Ok(Some(window)) = bincode::deserialize::<Option<Export>>(&hand_over.window) {
            self.engine.window_import(window);
        }
        self.groups.take_over(&hand_over.group).is_some()
    }

    async fn quarantine(&self, convictions: Vec<Conviction>) {
        self.engine.quarantine_import(&convictions);
        self.metrics
            .quarantine_received
            .inc_by(convictions.len() as u64);
    }

    async fn relinquish(&self, relinquish: Relinquish) -> bool {
        self.groups
            .relinquish(&relinquish.group, relinquish.epoch)
            .await
    }
}

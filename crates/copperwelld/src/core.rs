//! What the daemon's tasks share.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{metrics::Metrics, network::Way};
use copperwell_backend::{Control, Forward};
use copperwell_dispatch::{Engine, table::Table};
use copperwell_keyspace::{DaemonName, HashSet, LogOffset, Member, batch::Batch, replay::State};
use copperwell_log::follow::{Held, View};
use copperwell_ownership::Groups;
use copperwell_peer::{
    control::{HandOver, Handler, Pong, Probe, RECORDS_MAX, Relinquish, Snapshot},
    members::Members,
};
use copperwell_policy::{listing::Need, quarantine::Conviction, window::Export};
use tokio::sync::watch;

/// Below so many daemons, this one included, there may be others that only the list knows.
const LIVE_MIN: usize = 2;

/// What the daemon's tasks share.
pub(crate) struct Core<C, F> {
    pub(crate) me: Member,
    pub(crate) held: Held,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) members: Arc<Members>,
    pub(crate) groups: Groups<C>,
    pub(crate) engine: Arc<Engine<F>>,
    pub(crate) table: Arc<Table>,
    pub(crate) way: Arc<Way<F>>,
    pub(crate) metrics: Metrics,
    pub(crate) leaving: AtomicBool,
}

impl<C: Control, F: Forward> Core<C, F> {
    /// The agreed state as last read.
    pub(crate) fn state(&self) -> Arc<State> {
        self.view.borrow().state.clone()
    }

    /// Whether the daemon has been told to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// What the platform's list of VMs could bring, with those that it had when last read.
    pub(crate) fn need_of_vms(&self, listed: &HashSet<DaemonName>) -> Need {
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

    /// The daemons of this data centre that are alive and stay, in the order of names.
    pub(crate) fn live_here(&self) -> Vec<Member> {
        let mut live = self.live();
        live.retain(|member| member.data_centre == self.me.data_centre);
        live
    }

    /// The daemons that are alive and stay, in the order of names.
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
        self.members.answer(probe)
    }

    async fn probe_through(&self, target: SocketAddr) -> Option<Pong> {
        self.members.probe_through(target).await
    }

    async fn records(&self, from: LogOffset, wait: Duration) -> Option<Batch> {
        let mut batch = self.held.records(from, wait).await.ok()?;
        let mut room = RECORDS_MAX;
        batch.records.retain(|entry| {
            let fits = room > 0;
            room = room.saturating_sub(entry.bytes.len());
            fits
        });
        Some(batch)
    }

    async fn snapshot(&self) -> Option<Snapshot> {
        let held = self.held.snapshot().ok()?;
        Some(Snapshot {
            next: held.next,
            state: held.state.encode().ok()?,
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
            .quarantine_heard
            .inc_by(convictions.len() as u64);
    }

    async fn relinquish(&self, relinquish: Relinquish) -> bool {
        self.groups
            .relinquish(&relinquish.group, relinquish.epoch)
            .await
    }
}

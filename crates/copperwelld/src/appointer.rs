//! Proposes leaders and standbys by appending appointments to the log.

use std::{sync::Arc, time::Duration};

use crate::core::Core;
use copperwell_backend::{Control, Forward};
use copperwell_keyspace::{
    GroupId, HashSet,
    record::{Appoint, Body},
    replay::State,
};
use copperwell_log::{Log, append::Appender};
use copperwell_peer::members::Roster;
use copperwell_policy::{
    appoint::{Peers, proposals},
    hold_down::HoldDown,
};
use spdlog::info;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, timeout},
};

/// The interval between checks of the appointments.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long a starting daemon observes the others before it proposes anything.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// The timeout for one append, after which the appointments are checked again.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Appends records and proposes appointments until the daemon stops.
pub(crate) async fn run<C: Control, F: Forward, L: Log>(
    core: Arc<Core<C, F>>,
    mut appender: Appender<L>,
    mut records: mpsc::Receiver<Body>,
) {
    let settled_at = Instant::now() + SETTLE_TIME;
    let mut hold_down = HoldDown::new();
    let mut plan = Plan::default();
    loop {
        tokio::select! {
            body = records.recv() => {
                let Some(body) = body else { return };
                append(&core, &mut appender, body).await;
            }
            () = sleep(POLL_INTERVAL) => {}
        }
        if plan.update(&core) {
            hold_down.observe(&plan.state, Instant::now());
        }
        if Instant::now() < settled_at || core.is_leaving() {
            continue;
        }
        for proposal in &plan.proposals {
            let state = core.state();
            if !is_current(&state, proposal) || !hold_down.allows(&state, proposal, Instant::now())
            {
                continue;
            }
            hold_down.record_proposal(&state, proposal);
            log_proposal(&state, proposal);
            append(&core, &mut appender, Body::Appoint(proposal.clone())).await;
        }
    }
}

async fn append<C: Control, F: Forward, L: Log>(
    core: &Core<C, F>,
    appender: &mut Appender<L>,
    body: Body,
) {
    match timeout(APPEND_TIMEOUT, appender.append(body)).await {
        Ok(Ok(outcome)) => core.metrics.appended(outcome),
        Ok(Err(_)) | Err(_) => core.metrics.append_failed(),
    }
}

/// The proposals derived from the replicated state and the live daemons.
#[derive(Default)]
struct Plan {
    state: Arc<State>,
    roster: Arc<Roster>,
    proposals: Vec<Appoint>,
}

impl Plan {
    /// Computes the proposals again if the state or the live daemons changed.
    ///
    /// Returns whether the state changed.
    fn update<C: Control, F: Forward>(&mut self, core: &Core<C, F>) -> bool {
        let state = core.state();
        let roster = core.members.roster().borrow().clone();
        let is_same_state = Arc::ptr_eq(&state, &self.state);
        if !is_same_state || !Arc::ptr_eq(&roster, &self.roster) {
            self.proposals = compute_proposals(core, &state);
            self.roster = roster;
            self.state = state;
        }
        !is_same_state
    }
}

fn compute_proposals<C: Control, F: Forward>(core: &Core<C, F>, state: &State) -> Vec<Appoint> {
    let active = state.groups_in_force();
    // A departing group needs a leader until its last shard has been taken over.
    let departing = active.iter().filter(|group| group.is_departing());
    let departing: HashSet<GroupId> = departing.map(|group| group.id.clone()).collect();
    let groups: Vec<GroupId> = active.into_iter().map(|group| group.id).collect();
    let live_everywhere = core.live();
    let live = core.live_in_data_centre();
    let peers = Peers {
        me: &core.me,
        live: &live,
        live_everywhere: &live_everywhere,
    };
    proposals(state, &groups, &departing, &peers)
}

/// Returns whether the appointment that the proposal replaces is still in force; it may have been
/// replaced while other proposals were appended.
fn is_current(state: &State, proposal: &Appoint) -> bool {
    let appointment = state.groups.get(&proposal.group);
    appointment.map_or(0, |appointment| appointment.epoch) == proposal.replaces
}

fn log_proposal(state: &State, proposal: &Appoint) {
    let appointment = state.groups.get(&proposal.group);
    if appointment.is_none_or(|appointment| !appointment.leader.is_same_run(&proposal.leader)) {
        let group = proposal.group.to_string();
        let leader = proposal.leader.name.to_string();
        info!("proposing a leader", kv: { group, leader });
    }
}

//! Proposes leaders and standbys through the log.

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

/// How often the appointments are looked at.
const LOOK: Duration = Duration::from_millis(100);

/// How long a starting daemon watches the others before it proposes anything.
const SETTLE: Duration = Duration::from_secs(1);

/// How long one append may take before the appointments are looked at anew.
const APPEND_TIME: Duration = Duration::from_secs(5);

/// Proposes until the daemon stops.
pub(crate) async fn run<C: Control, F: Forward, L: Log>(
    core: Arc<Core<C, F>>,
    mut appender: Appender<L>,
    mut records: mpsc::Receiver<Body>,
) {
    let settled = Instant::now() + SETTLE;
    let mut hold_down = HoldDown::new();
    let mut wanted = Wanted::default();
    loop {
        tokio::select! {
            body = records.recv() => {
                let Some(body) = body else { return };
                append(&core, &mut appender, body).await;
            }
            () = sleep(LOOK) => {}
        }
        if wanted.update(&core) {
            hold_down.observe(&wanted.state, Instant::now());
        }
        if Instant::now() < settled || core.is_leaving() {
            continue;
        }
        for proposal in &wanted.proposals {
            let state = core.state();
            if !still_wanted(&state, proposal)
                || !hold_down.allows(&state, proposal, Instant::now())
            {
                continue;
            }
            hold_down.record_proposal(&state, proposal);
            tell(&state, proposal);
            append(&core, &mut appender, Body::Appoint(proposal.clone())).await;
        }
    }
}

async fn append<C: Control, F: Forward, L: Log>(
    core: &Core<C, F>,
    appender: &mut Appender<L>,
    body: Body,
) {
    match timeout(APPEND_TIME, appender.append(body)).await {
        Ok(Ok(outcome)) => core.metrics.appended(outcome),
        Ok(Err(_)) | Err(_) => core.metrics.append_failed(),
    }
}

/// The proposals that follow from a state and the live daemons.
#[derive(Default)]
struct Wanted {
    state: Arc<State>,
    roster: Arc<Roster>,
    proposals: Vec<Appoint>,
}

impl Wanted {
    /// Looks at all groups if anything changed; tells whether the state did.
    fn update<C: Control, F: Forward>(&mut self, core: &Core<C, F>) -> bool {
        let state = core.state();
        let roster = core.members.roster().borrow().clone();
        let is_same_state = Arc::ptr_eq(&state, &self.state);
        if !is_same_state || !Arc::ptr_eq(&roster, &self.roster) {
            self.proposals = current(core, &state);
            self.roster = roster;
            self.state = state;
        }
        !is_same_state
    }
}

fn current<C: Control, F: Forward>(core: &Core<C, F>, state: &State) -> Vec<Appoint> {
    let active = state.groups_in_force();
    // A departing group needs a leader too, until its last shard has been taken over.
    let departing = active.iter().filter(|group| group.is_departing());
    let departing: HashSet<GroupId> = departing.map(|group| group.id.clone()).collect();
    let groups: Vec<GroupId> = active.into_iter().map(|group| group.id).collect();
    let live_everywhere = core.live();
    let live = core.live_here();
    let peers = Peers {
        me: &core.me,
        live: &live,
        live_everywhere: &live_everywhere,
    };
    proposals(state, &groups, &departing, &peers)
}

/// Whether the proposal's parent still leads; it may have been settled while others were appended.
fn still_wanted(state: &State, proposal: &Appoint) -> bool {
    let held = state.groups.get(&proposal.group);
    held.map_or(0, |held| held.epoch) == proposal.replaces
}

fn tell(state: &State, proposal: &Appoint) {
    let held = state.groups.get(&proposal.group);
    if held.is_none_or(|held| !held.leader.is_same_run(&proposal.leader)) {
        let group = proposal.group.to_string();
        let leader = proposal.leader.name.to_string();
        info!("proposing a leader", kv: { group, leader });
    }
}

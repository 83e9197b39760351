//! Proposes leaders and standbys through the log.

use std::{sync::Arc, time::Duration};

use crate::core::Core;
use copperwell_backend::{Control, Forward};
use copperwell_keyspace::{
    GroupId, Member,
    record::{Appoint, Body},
};
use copperwell_platform::{Log, append::Appender};
use copperwell_policy::appoint::{Peers, proposals};
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
    loop {
        tokio::select! {
            body = records.recv() => {
                let Some(body) = body else { return };
                append(&core, &mut appender, body).await;
            }
            () = sleep(LOOK) => {}
        }
        if Instant::now() < settled || core.is_leaving() {
            continue;
        }
        for proposal in current(&core) {
            if !still_wanted(&core, &proposal) {
                continue;
            }
            append(&core, &mut appender, Body::Appoint(proposal)).await;
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

fn current<C: Control, F: Forward>(core: &Core<C, F>) -> Vec<Appoint> {
    let state = core.state();
    // A departing group needs a leader too, until its last shard has been taken over.
    let groups: Vec<GroupId> = state
        .groups_in_force()
        .into_iter()
        .map(|group| group.id)
        .collect();
    let live = core.live_here();
    let peers = Peers {
        me: &core.me,
        live: &live,
    };
    proposals(&state, &groups, &peers)
}

/// Whether the proposal's parent still leads; it may have been settled while others were appended.
fn still_wanted<C: Control, F: Forward>(core: &Core<C, F>, proposal: &Appoint) -> bool {
    let state = core.state();
    let held = state.groups.get(&proposal.group);
    let wanted = held.map_or(0, |held| held.epoch) == proposal.replaces;
    if wanted && held.is_none_or(|held| !is_same(&held.leader, &proposal.leader)) {
        let group = proposal.group.to_string();
        let leader = proposal.leader.name.to_string();
        info!("proposing a leader", kv: { group, leader });
    }
    wanted
}

fn is_same(one: &Member, other: &Member) -> bool {
    one.name == other.name && one.incarnation == other.incarnation
}

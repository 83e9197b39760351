//! Finds out whether another daemon may act for a group that this one leads.
//!
//! A leader may give away what a lost server held only if nobody with a higher epoch has kept that
//! server alive meanwhile, and a new leader must know when the one before has stopped. Both are
//! asked only while a group waits for the answer, so a group at rest costs nothing.

use std::{sync::Arc, time::Duration};

use crate::core::Core;
use copperwell_backend::{Control, Forward};
use copperwell_keyspace::{DaemonName, GroupId, Member, record::STREAM};
use copperwell_log::Log;
use copperwell_ownership::{Evidence, Status};
use copperwell_peer::control::{Client, Relinquish};
use futures::future::join_all;
use tokio::time::{Instant, sleep, timeout};

/// How often waiting groups are looked at.
const LOOK: Duration = Duration::from_millis(150);

/// How long one daemon or the log may take to answer.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// Asks on behalf of waiting groups until the daemon stops.
pub(crate) async fn run<C: Control, F: Forward>(
    core: Arc<Core<C, F>>,
    client: Client,
    log: Arc<impl Log>,
) {
    loop {
        sleep(LOOK).await;
        let waiting: Vec<Status> = core
            .groups
            .status()
            .into_iter()
            .filter(|status| status.waits)
            .collect();
        if waiting.is_empty() {
            continue;
        }
        let asked = Instant::now();
        let at_end = is_read_to_end(&core, &*log).await;
        if at_end {
            core.groups.handle_evidence(Evidence::Contact(asked));
        }
        join_all(
            waiting
                .iter()
                .map(|status| ask(&core, &client, status, asked, at_end)),
        )
        .await;
    }
}

/// Asks the other daemons about one group.
async fn ask<C: Control, F: Forward>(
    core: &Core<C, F>,
    client: &Client,
    status: &Status,
    asked: Instant,
    at_end: bool,
) {
    let rivals = core.groups.rivals(&status.group);
    let stopped = join_all(
        rivals
            .iter()
            .map(|rival| is_stopped(core, client, status, rival)),
    );
    let all_stopped = stopped.await.into_iter().all(|stopped| stopped);
    if !all_stopped {
        return;
    }
    // Of a group that had leaders before this daemon started, it may not know them all.
    let knows_all = core.groups.knows_rivals(&status.group);
    let nobody_else = if knows_all && at_end {
        false
    } else {
        nobody_else_here(core, client, status).await
    };
    if knows_all || nobody_else {
        core.groups
            .handle_evidence(Evidence::NoOtherLeader(status.group.clone()));
    }
    let confirmed = nobody_else || (at_end && is_appointed(core, status));
    if confirmed {
        core.groups.handle_evidence(Evidence::Confirmed {
            group: status.group.clone(),
            at: asked,
        });
    }
}

/// Whether the state that was read to the end of the log still names this daemon.
fn is_appointed<C: Control, F: Forward>(core: &Core<C, F>, status: &Status) -> bool {
    let state = core.state();
    let held = state.groups.get(&status.group);
    held.is_some_and(|held| [held.epoch, held.standby_epoch()].contains(&status.epoch))
}

/// Without the log, nobody acts if every daemon that could have been appointed says so.
async fn nobody_else_here<C: Control, F: Forward>(
    core: &Core<C, F>,
    client: &Client,
    status: &Status,
) -> bool {
    let roster = core.members.roster().borrow().clone();
    let others: Vec<DaemonName> = roster
        .members
        .values()
        .filter(|seen| seen.member.data_centre == core.me.data_centre)
        .filter(|seen| seen.member.name != core.me.name)
        .filter(|seen| seen.liveness != copperwell_peer::control::Liveness::Gone)
        .map(|seen| seen.member.name.clone())
        .collect();
    let stopped = join_all(
        others
            .iter()
            .map(|other| is_stopped(core, client, status, other)),
    );
    stopped.await.into_iter().all(|stopped| stopped)
}

async fn is_stopped<C: Control, F: Forward>(
    core: &Core<C, F>,
    client: &Client,
    status: &Status,
    daemon: &DaemonName,
) -> bool {
    let Some(member) = find(core, &status.group, daemon) else {
        return false;
    };
    let question = Relinquish {
        group: status.group.clone(),
        epoch: status.epoch,
    };
    let answer = timeout(ANSWER_TIME, client.relinquish(member.control, question)).await;
    matches!(answer, Ok(Ok(true)))
}

fn find<C: Control, F: Forward>(
    core: &Core<C, F>,
    group: &GroupId,
    daemon: &DaemonName,
) -> Option<Member> {
    let roster = core.members.roster().borrow().clone();
    if let Some(seen) = roster.members.get(daemon) {
        return Some(seen.member.clone());
    }
    let state = core.state();
    let held = state.groups.get(group)?;
    let mut named = std::iter::once(&held.leader).chain(&held.standby);
    named.find(|member| member.name == *daemon).cloned()
}

/// Whether the log has nothing that this daemon has not read.
async fn is_read_to_end<C: Control, F: Forward>(core: &Core<C, F>, log: &impl Log) -> bool {
    let next = core.view.borrow().next;
    match timeout(ANSWER_TIME, log.read(STREAM, next, Duration::ZERO)).await {
        Ok(Ok(batch)) => batch.next == next,
        Ok(Err(_)) | Err(_) => false,
    }
}

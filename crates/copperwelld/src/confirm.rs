//! Checks whether another daemon may act for a group that this one leads.
//!
//! A leader may reassign the shards of a lost server only if no leader with a higher epoch has
//! renewed that server's leases in the meantime, and a new leader must know when its predecessor
//! has stopped. Both are checked only while a group waits for the result, so an idle group costs
//! nothing.

use std::{sync::Arc, time::Duration};

use crate::core::Core;
use copperwell_backend::{Control, Forward};
use copperwell_keyspace::{DaemonName, GroupId, Member, record::STREAM};
use copperwell_log::Log;
use copperwell_ownership::{Evidence, Status};
use copperwell_peer::control::{Client, Relinquish};
use futures::future::join_all;
use tokio::time::{Instant, sleep, timeout};

/// The interval between checks for waiting groups.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// The timeout for one response from a daemon or the log.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Gathers evidence for waiting groups until the daemon stops.
pub(crate) async fn run<C: Control, F: Forward>(
    core: Arc<Core<C, F>>,
    client: Client,
    log: Arc<impl Log>,
) {
    loop {
        sleep(POLL_INTERVAL).await;
        let waiting: Vec<Status> = core
            .groups
            .status()
            .into_iter()
            .filter(|status| status.waits)
            .collect();
        if waiting.is_empty() {
            continue;
        }
        let asked_at = Instant::now();
        let is_caught_up = is_log_caught_up(&core, &*log).await;
        if is_caught_up {
            core.groups.handle_evidence(Evidence::Contact(asked_at));
        }
        join_all(
            waiting
                .iter()
                .map(|status| confirm(&core, &client, status, asked_at, is_caught_up)),
        )
        .await;
    }
}

/// Queries the other daemons that may act for one group.
async fn confirm<C: Control, F: Forward>(
    core: &Core<C, F>,
    client: &Client,
    status: &Status,
    asked_at: Instant,
    is_caught_up: bool,
) {
    let rivals = core.groups.rivals(&status.group);
    let relinquished = join_all(
        rivals
            .iter()
            .map(|rival| has_relinquished(core, client, status, rival)),
    );
    let all_relinquished = relinquished
        .await
        .into_iter()
        .all(|relinquished| relinquished);
    if !all_relinquished {
        return;
    }
    // The rivals may not all be known if the group had leaders before this daemon started.
    let knows_all_rivals = core.groups.knows_rivals(&status.group);
    let is_alone = if knows_all_rivals && is_caught_up {
        false
    } else {
        have_all_relinquished(core, client, status).await
    };
    if knows_all_rivals || is_alone {
        core.groups
            .handle_evidence(Evidence::NoOtherLeader(status.group.clone()));
    }
    let is_confirmed = is_alone || (is_caught_up && is_appointed(core, status));
    if is_confirmed {
        core.groups.handle_evidence(Evidence::Confirmed {
            group: status.group.clone(),
            at: asked_at,
        });
    }
}

/// Returns whether the state read from the log still appoints this daemon under this epoch.
fn is_appointed<C: Control, F: Forward>(core: &Core<C, F>, status: &Status) -> bool {
    let state = core.state();
    let appointment = state.groups.get(&status.group);
    appointment.is_some_and(|appointment| {
        [appointment.epoch, appointment.standby_epoch()].contains(&status.epoch)
    })
}

/// Returns whether every daemon that could have been appointed confirms that it does not act for
/// the group, which needs no access to the log.
async fn have_all_relinquished<C: Control, F: Forward>(
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
    let relinquished = join_all(
        others
            .iter()
            .map(|other| has_relinquished(core, client, status, other)),
    );
    relinquished
        .await
        .into_iter()
        .all(|relinquished| relinquished)
}

async fn has_relinquished<C: Control, F: Forward>(
    core: &Core<C, F>,
    client: &Client,
    status: &Status,
    daemon: &DaemonName,
) -> bool {
    let Some(member) = find_member(core, &status.group, daemon) else {
        return false;
    };
    let request = Relinquish {
        group: status.group.clone(),
        epoch: status.epoch,
    };
    let response = timeout(RESPONSE_TIMEOUT, client.relinquish(member.control, request)).await;
    matches!(response, Ok(Ok(true)))
}

fn find_member<C: Control, F: Forward>(
    core: &Core<C, F>,
    group: &GroupId,
    daemon: &DaemonName,
) -> Option<Member> {
    let roster = core.members.roster().borrow().clone();
    if let Some(seen) = roster.members.get(daemon) {
        return Some(seen.member.clone());
    }
    let state = core.state();
    let appointment = state.groups.get(group)?;
    let mut appointed = std::iter::once(&appointment.leader).chain(&appointment.standby);
    appointed.find(|member| member.name == *daemon).cloned()
}

/// Returns whether this daemon has read every record of the log.
async fn is_log_caught_up<C: Control, F: Forward>(core: &Core<C, F>, log: &impl Log) -> bool {
    let next = core.view.borrow().next;
    match timeout(RESPONSE_TIMEOUT, log.read(STREAM, next, Duration::ZERO)).await {
        Ok(Ok(batch)) => batch.next == next,
        Ok(Err(_)) | Err(_) => false,
    }
}

//! The command `watch`.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    args::WatchArgs,
    exit::{self, Exit, print},
    status::discover,
    table::log_state,
};
use copperwell_operator::fleet::Fleet;
use tokio::time::sleep;

/// Prints a line for each change until the command is stopped.
pub(crate) async fn run(args: &WatchArgs) -> exit::Result {
    let mut previous = BTreeMap::new();
    let mut queries = 0;
    loop {
        let current = statuses(&discover(&args.daemons).await?);
        for line in changes(&previous, &current) {
            print(line);
        }
        previous = current;
        queries += 1;
        if args.count.is_some_and(|count| queries >= count) {
            return Ok(Exit::Done);
        }
        sleep(Duration::from_secs(args.every.max(1))).await;
    }
}

/// Returns the status of each daemon and group, by name.
fn statuses(fleet: &Fleet) -> BTreeMap<String, String> {
    let mut statuses = BTreeMap::new();
    for (name, status) in &fleet.daemons {
        let log = log_state(status.log.state);
        let status_text = format!("manifest {}, log {log}", status.manifest);
        statuses.insert(format!("daemon {name}"), status_text);
    }
    for member in &fleet.silent {
        statuses.insert(format!("daemon {}", member.name), "silent".to_owned());
    }
    for report in fleet.groups() {
        let leader = report.leader.as_deref().unwrap_or("-");
        let standby = report.standby.as_deref().unwrap_or("-");
        let leader_view = report.leader_view.as_ref();
        let (epoch, phase) = leader_view.map_or((0, "-"), |group| (group.epoch, &*group.phase));
        let status_text = format!("leader {leader}, epoch {epoch}, standby {standby}, {phase}");
        statuses.insert(format!("group {}", report.id), status_text);
    }
    statuses
}

fn changes(previous: &BTreeMap<String, String>, current: &BTreeMap<String, String>) -> Vec<String> {
    let gone = previous.keys().filter(|name| !current.contains_key(*name));
    let changed = current
        .iter()
        .filter(|(name, status_text)| previous.get(*name) != Some(*status_text));
    changed
        .map(|(name, status_text)| format!("{name}: {status_text}"))
        .chain(gone.map(|name| format!("{name}: gone")))
        .collect()
}

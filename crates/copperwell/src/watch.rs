//! `watch`.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    args::WatchArgs,
    exit::{self, Exit, print},
    status::ask,
    table::log_state,
};
use copperwell_operator::fleet::Fleet;
use tokio::time::sleep;

/// Prints a line for each change until the command is stopped.
pub(crate) async fn run(args: &WatchArgs) -> exit::Result {
    let mut before = BTreeMap::new();
    let mut looks = 0;
    loop {
        let now = facts(&ask(&args.daemons).await?);
        for line in changes(&before, &now) {
            print(line);
        }
        before = now;
        looks += 1;
        if args.count.is_some_and(|count| looks >= count) {
            return Ok(Exit::Done);
        }
        sleep(Duration::from_secs(args.every.max(1))).await;
    }
}

/// What is watched, by name.
fn facts(fleet: &Fleet) -> BTreeMap<String, String> {
    let mut facts = BTreeMap::new();
    for (name, status) in &fleet.daemons {
        let log = log_state(status.log.state);
        let fact = format!("manifest {}, log {log}", status.manifest);
        facts.insert(format!("daemon {name}"), fact);
    }
    for member in &fleet.silent {
        facts.insert(format!("daemon {}", member.name), "silent".to_owned());
    }
    for report in fleet.groups() {
        let leader = report.leader.as_deref().unwrap_or("-");
        let standby = report.standby.as_deref().unwrap_or("-");
        let leader_view = report.leader_view.as_ref();
        let (epoch, phase) = leader_view.map_or((0, "-"), |group| (group.epoch, &*group.phase));
        let fact = format!("leader {leader}, epoch {epoch}, standby {standby}, {phase}");
        facts.insert(format!("group {}", report.id), fact);
    }
    facts
}

fn changes(before: &BTreeMap<String, String>, now: &BTreeMap<String, String>) -> Vec<String> {
    let gone = before.keys().filter(|name| !now.contains_key(*name));
    let changed = now
        .iter()
        .filter(|(name, fact)| before.get(*name) != Some(*fact));
    changed
        .map(|(name, fact)| format!("{name}: {fact}"))
        .chain(gone.map(|name| format!("{name}: gone")))
        .collect()
}

//! Tables in the text output.

use comfy_table::{Cell, Table, presets::NOTHING};
use copperwell_keyspace::manifest::{Manifest, OnIsolation};
use copperwell_operator::{
    fleet::{Fleet, GroupReport},
    status::{Group, LogState},
};

/// Returns a table with one row for each daemon.
pub(crate) fn daemons(fleet: &Fleet) -> Table {
    let mut table = new_table(&["DAEMON", "DATA CENTRE", "MANIFEST", "LOG", "NEXT", "GROUPS"]);
    for status in fleet.daemons.values() {
        table.add_row([
            Cell::new(&status.daemon.name),
            Cell::new(&status.daemon.data_centre),
            Cell::new(status.manifest),
            Cell::new(log_state(status.log.state)),
            Cell::new(status.log.next),
            Cell::new(status.groups.len()),
        ]);
    }
    for member in &fleet.silent {
        table.add_row([
            Cell::new(&member.name),
            Cell::new(&member.data_centre),
            Cell::new("-"),
            Cell::new("silent"),
            Cell::new("-"),
            Cell::new("-"),
        ]);
    }
    table
}

/// Returns a table with one row for each group.
pub(crate) fn groups(groups: &[GroupReport]) -> Table {
    let mut table = new_table(&[
        "GROUP",
        "LEADER",
        "EPOCH",
        "PHASE",
        "STANDBY",
        "UPSTREAMS",
        "SHARDS",
        "UNASSIGNED",
        "IN FLIGHT",
        "QUEUE",
    ]);
    for report in groups {
        let leader_view = report.leader_view.as_ref();
        let total = |field: fn(&copperwell_operator::status::Upstream) -> u32| {
            let sum_of = |group: &Group| group.upstreams.iter().map(field).sum::<u32>();
            leader_view.map_or_else(dash, |group| sum_of(group).to_string())
        };
        table.add_row([
            report.id.to_string(),
            report.leader.as_deref().map_or_else(dash, str::to_owned),
            leader_view.map_or_else(dash, |group| group.epoch.to_string()),
            leader_view.map_or_else(dash, |group| group.phase.clone()),
            report.standby.as_deref().map_or_else(dash, str::to_owned),
            leader_view.map_or_else(dash, |group| group.upstreams.len().to_string()),
            total(|upstream| upstream.shards),
            leader_view.map_or_else(dash, |group| group.unassigned.to_string()),
            total(|upstream| upstream.in_flight),
            total(|upstream| upstream.queue),
        ]);
    }
    table
}

/// Returns a table with one row for each upstream.
pub(crate) fn upstreams(groups: &[GroupReport]) -> Table {
    let mut table = new_table(&["UPSTREAM", "GROUP", "STATE", "SHARDS", "IN FLIGHT", "QUEUE"]);
    for report in groups {
        let upstreams = report.leader_view.iter().flat_map(|group| &group.upstreams);
        for upstream in upstreams {
            table.add_row([
                upstream.name.to_string(),
                report.id.to_string(),
                upstream.state.clone(),
                upstream.shards.to_string(),
                upstream.in_flight.to_string(),
                upstream.queue.to_string(),
            ]);
        }
    }
    table
}

/// Returns a table with one row for each hot key.
pub(crate) fn hot_keys(groups: &[GroupReport]) -> Table {
    let mut table = new_table(&["HOT KEY", "GROUP", "SHARE %"]);
    for report in groups {
        for hot in report.leader_view.iter().flat_map(|group| &group.hot_keys) {
            table.add_row([
                hot.key.clone(),
                report.id.to_string(),
                format!("{}.{}", hot.permille / 10, hot.permille % 10),
            ]);
        }
    }
    table
}

/// Returns a table with one row for each service and its limits.
pub(crate) fn services(manifest: &Manifest) -> Table {
    let mut table = new_table(&[
        "SERVICE",
        "SHARDS",
        "LEASE",
        "ISOLATION",
        "IN FLIGHT",
        "QUEUE",
        "DEADLINE",
        "BODY",
        "RETRY %",
        "WINDOW",
    ]);
    for service in &manifest.services {
        let limits = &service.limits;
        let isolation = match service.on_isolation {
            OnIsolation::Keep => "keep".to_owned(),
            OnIsolation::Release => format!("release after {:?}", limits.isolation),
        };
        table.add_row([
            service.name.to_string(),
            service.shards.to_string(),
            format!("{:?}", service.lease),
            isolation,
            limits.in_flight.to_string(),
            limits.queue.to_string(),
            format!("{:?}", limits.deadline),
            limits.body.to_string(),
            limits.retry_percent.to_string(),
            format!("{:?}", limits.window),
        ]);
    }
    table
}

/// Returns the display name of a daemon's log state.
pub(crate) fn log_state(state: LogState) -> &'static str {
    match state {
        LogState::Starting => "starting",
        LogState::Current => "current",
        LogState::Away => "away",
        LogState::Gap => "gap",
        LogState::Restarted => "restarted",
    }
}

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(header);
    table
}

fn dash() -> String {
    "-".to_owned()
}

//! Tables for people.

use comfy_table::{Cell, Table, presets::NOTHING};
use copperwell_keyspace::manifest::{Manifest, OnIsolation};
use copperwell_operator::{
    fleet::{Fleet, GroupReport},
    status::{Group, LogState},
};

/// One row for each daemon.
pub(crate) fn daemons(fleet: &Fleet) -> Table {
    let mut table = start(&["DAEMON", "DATA CENTRE", "MANIFEST", "LOG", "NEXT", "GROUPS"]);
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

/// One row for each group.
pub(crate) fn groups(groups: &[GroupReport]) -> Table {
    let mut table = start(&[
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
        let sum = |part: fn(&copperwell_operator::status::Upstream) -> u32| {
            let of = |group: &Group| group.upstreams.iter().map(part).sum::<u32>();
            leader_view.map_or_else(dash, |group| of(group).to_string())
        };
        table.add_row([
            report.id.to_string(),
            report.leader.as_deref().map_or_else(dash, str::to_owned),
            leader_view.map_or_else(dash, |group| group.epoch.to_string()),
            leader_view.map_or_else(dash, |group| group.phase.clone()),
            report.standby.as_deref().map_or_else(dash, str::to_owned),
            leader_view.map_or_else(dash, |group| group.upstreams.len().to_string()),
            sum(|upstream| upstream.shards),
            leader_view.map_or_else(dash, |group| group.unassigned.to_string()),
            sum(|upstream| upstream.in_flight),
            sum(|upstream| upstream.queue),
        ]);
    }
    table
}

/// One row for each upstream.
pub(crate) fn upstreams(groups: &[GroupReport]) -> Table {
    let mut table = start(&["UPSTREAM", "GROUP", "STATE", "SHARDS", "IN FLIGHT", "QUEUE"]);
    for report in groups {
        let leader_view = report.leader_view.iter().flat_map(|group| &group.upstreams);
        for upstream in leader_view {
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

/// One row for each key that is asked for often.
pub(crate) fn hot_keys(groups: &[GroupReport]) -> Table {
    let mut table = start(&["HOT KEY", "GROUP", "SHARE %"]);
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

/// One row for each service with its limits.
pub(crate) fn services(manifest: &Manifest) -> Table {
    let mut table = start(&[
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

/// The word for how a daemon stands to the log.
pub(crate) fn log_state(state: LogState) -> &'static str {
    match state {
        LogState::Starting => "starting",
        LogState::Current => "current",
        LogState::Away => "away",
        LogState::Gap => "gap",
        LogState::Restarted => "restarted",
    }
}

fn start(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(header);
    table
}

fn dash() -> String {
    "-".to_owned()
}

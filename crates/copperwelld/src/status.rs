//! The status page and routing explanations of the admin endpoint.

use crate::{admin::Inspect, core::Core};
use copperwell_backend::{Control, Forward};
use copperwell_dispatch::{self as dispatch, table::Route};
use copperwell_keyspace::{
    GroupId, Member, UpstreamName,
    manifest::Manifest,
    replay::{Appointment, State},
    shard,
};
use copperwell_log::follow::{self, View};
use copperwell_operator::status::{
    Explanation, Group, HotKey, Log, LogState, MemberStatus, Role, Status, Upstream,
};
use copperwell_ownership as ownership;
use copperwell_peer::control::Liveness;

impl<C: Control, F: Forward> Inspect for Core<C, F> {
    fn is_ready(&self) -> bool {
        !self.is_leaving() && self.state().manifest.is_some()
    }

    async fn status(&self) -> Vec<u8> {
        let view = self.view.borrow().clone();
        let manifest = view.state.manifest.as_deref();
        let status = Status {
            daemon: self.me.clone(),
            manifest: manifest.map_or(0, Manifest::version),
            digest: manifest.map_or(0, Manifest::digest),
            log: log_status(&view),
            groups: self.group_statuses(&view),
            members: self.member_statuses(),
        };
        serde_json::to_vec(&status).unwrap_or_default()
    }

    fn explain(&self, service: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state();
        let declared = state.manifest.as_ref()?.service(service)?;
        let shard = shard::index_of(key, declared.shards);
        let group = state.owner_of(service, shard).cloned();
        let appointment = group.as_ref().and_then(|group| state.groups.get(group));
        let route = self.table.route(service, shard);
        let mut because = routing_reasons(
            declared.shards,
            shard,
            group.as_ref(),
            appointment,
            &route,
            &self.me,
        );
        because.extend(self.hot_key_share(service, key));
        let explanation = Explanation {
            service: declared.name.clone(),
            key: key.to_owned(),
            shard,
            group: group.clone(),
            leader: appointment.map(|appointment| appointment.leader.name.clone()),
            data_centre: appointment.map(|appointment| appointment.leader.data_centre.clone()),
            epoch: appointment.map_or(0, |appointment| appointment.epoch),
            upstream: upstream_of(&route),
            because,
        };
        serde_json::to_vec(&explanation).ok()
    }

    fn refresh(&self) {
        let view = self.view.borrow().clone();
        let version = view.state.manifest.as_deref().map_or(0, Manifest::version);
        self.metrics.manifest.set(saturating_i64(version));
        let roster = self.members.roster().borrow().clone();
        self.metrics
            .members_live
            .set(saturating_i64(roster.live().len() as u64));
    }
}

impl<C: Control, F: Forward> Core<C, F> {
    fn group_statuses(&self, view: &View) -> Vec<Group> {
        let engine = self.engine.status();
        let hot = self.engine.hot_keys();
        let status = self.groups.status().into_iter();
        let mut groups: Vec<Group> = status
            .map(|status| {
                let hot_keys = hot_keys_of(&status.group, &hot, &view.state);
                leader_status(status, &engine, hot_keys)
            })
            .collect();
        let standbys = view.state.groups.iter().filter(|(id, appointment)| {
            let is_standby = appointment
                .standby
                .as_ref()
                .is_some_and(|standby| standby.name == self.me.name);
            is_standby && !groups.iter().any(|group| group.group == **id)
        });
        let standbys: Vec<Group> = standbys
            .map(|(id, appointment)| standby_status(id, appointment))
            .collect();
        groups.extend(standbys);
        groups.sort_by(|one, other| one.group.cmp(&other.group));
        groups
    }

    /// Returns a sentence on the key's share of the service's requests if the key is hot.
    fn hot_key_share(&self, service: &str, key: &str) -> Option<String> {
        let mut hot = self.engine.hot_keys().into_iter();
        let hot = hot.find(|hot| &*hot.service == service && hot.key == key)?;
        Some(format!(
            "{} counts {} of 1000 requests of the service for this key",
            self.me.name, hot.permille
        ))
    }

    fn member_statuses(&self) -> Vec<MemberStatus> {
        let roster = self.members.roster().borrow().clone();
        let mut members: Vec<MemberStatus> = roster
            .members
            .values()
            .map(|seen| MemberStatus {
                member: seen.member.clone(),
                reachable: seen.liveness == Liveness::Live,
            })
            .collect();
        members.sort_by(|one, other| one.member.name.cmp(&other.member.name));
        members
    }
}

fn leader_status(
    status: ownership::Status,
    engine: &[dispatch::Status],
    hot_keys: Vec<HotKey>,
) -> Group {
    let phase = match (
        status.settled,
        status.unreported + status.free + status.moving,
    ) {
        (false, _) => "taking-over",
        (true, 0) => "steady",
        (true, _) => "granting",
    };
    let upstreams = status.upstreams.into_iter().map(|upstream| {
        let seen = engine.iter().find(|seen| seen.upstream == upstream.name);
        Upstream {
            state: upstream_state(&upstream).to_owned(),
            name: upstream.name,
            shards: saturating_u32(upstream.shards),
            in_flight: seen.map_or(0, |seen| seen.in_flight),
            queue: seen.map_or(0, |seen| seen.interactive + seen.batch),
        }
    });
    Group {
        group: status.group,
        epoch: status.epoch,
        role: Role::Leader,
        phase: phase.to_owned(),
        upstreams: upstreams.collect(),
        unassigned: saturating_u32(status.unreported + status.free),
        hot_keys,
    }
}

/// Returns the service's hot keys whose shards the group owns.
fn hot_keys_of(group: &GroupId, hot: &[dispatch::HotKey], state: &State) -> Vec<HotKey> {
    let service = state
        .manifest
        .as_ref()
        .and_then(|manifest| manifest.service(&group.service));
    let Some(service) = service else {
        return Vec::new();
    };
    let owned = hot.iter().filter(|hot| {
        let shard = shard::index_of(&hot.key, service.shards);
        hot.service == group.service && state.owner_of(&group.service, shard) == Some(group)
    });
    owned
        .map(|hot| HotKey {
            key: hot.key.clone(),
            permille: hot.permille,
        })
        .collect()
}

fn upstream_state(upstream: &ownership::UpstreamStatus) -> &'static str {
    match upstream {
        upstream if upstream.lost => "down",
        upstream if upstream.leaving => "draining",
        upstream if upstream.established => "up",
        _ => "waiting",
    }
}

fn saturating_u32(shards: usize) -> u32 {
    u32::try_from(shards).unwrap_or(u32::MAX)
}

fn standby_status(id: &GroupId, appointment: &Appointment) -> Group {
    Group {
        group: id.clone(),
        epoch: appointment.standby_epoch(),
        role: Role::Standby,
        phase: "standing-by".to_owned(),
        upstreams: Vec::new(),
        unassigned: 0,
        hot_keys: Vec::new(),
    }
}

fn log_status(view: &View) -> Log {
    let state = match view.status {
        follow::Status::Starting => LogState::Starting,
        follow::Status::Current => LogState::Current,
        follow::Status::Away(_) => LogState::Away,
        follow::Status::Gap => LogState::Gap,
        follow::Status::Restarted => LogState::Restarted,
    };
    Log {
        next: view.next,
        state,
    }
}

fn upstream_of(route: &Route) -> Option<UpstreamName> {
    match route {
        Route::Owned(owner) => Some(owner.upstream.clone()),
        _ => None,
    }
}

/// Returns one sentence for each step from key to upstream.
fn routing_reasons(
    shards: u32,
    shard: u32,
    group: Option<&GroupId>,
    appointment: Option<&Appointment>,
    route: &Route,
    me: &Member,
) -> Vec<String> {
    let mut because = vec![format!(
        "the key's hash falls into shard {shard} of {shards}"
    )];
    because.push(match group {
        Some(group) => format!("the log gives the shard to group {group}"),
        None => "the log gives the shard to no group".to_owned(),
    });
    because.push(match appointment {
        Some(appointment) => {
            format!(
                "the log appoints {} as its leader, epoch {}",
                appointment.leader.name, appointment.epoch
            )
        }
        None => "the log appoints no leader yet".to_owned(),
    });
    because.push(match route {
        Route::Owned(owner) => format!("{} grants it to {}", me.name, owner.upstream),
        Route::Pending => format!("{} is moving it between upstreams", me.name),
        Route::Unowned => format!("{} cannot grant it to any upstream yet", me.name),
        Route::Elsewhere => format!("{} does not lead the group; ask its leader", me.name),
    });
    because
}

fn saturating_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

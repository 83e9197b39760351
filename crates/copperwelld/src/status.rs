//! What the admin endpoint tells of this daemon.

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
            log: log(&view),
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
        let held = group.as_ref().and_then(|group| state.groups.get(group));
        let route = self.table.route(service, shard);
        let mut because = because(
            declared.shards,
            shard,
            group.as_ref(),
            held,
            &route,
            &self.me,
        );
        because.extend(self.heat(service, key));
        let explanation = Explanation {
            service: declared.name.clone(),
            key: key.to_owned(),
            shard,
            group: group.clone(),
            leader: held.map(|held| held.leader.name.clone()),
            data_centre: held.map(|held| held.leader.data_centre.clone()),
            epoch: held.map_or(0, |held| held.epoch),
            upstream: upstream_of(&route),
            because,
        };
        serde_json::to_vec(&explanation).ok()
    }

    fn refresh(&self) {
        let view = self.view.borrow().clone();
        let version = view.state.manifest.as_deref().map_or(0, Manifest::version);
        self.metrics.manifest.set(signed(version));
        let roster = self.members.roster().borrow().clone();
        self.metrics
            .members_live
            .set(signed(roster.live().len() as u64));
    }
}

impl<C: Control, F: Forward> Core<C, F> {
    fn group_statuses(&self, view: &View) -> Vec<Group> {
        let engine = self.engine.status();
        let hot = self.engine.hot_keys();
        let led = self.groups.status().into_iter();
        let mut groups: Vec<Group> = led
            .map(|led| {
                let hot_keys = hot_keys_of(&led.group, &hot, &view.state);
                led_status(led, &engine, hot_keys)
            })
            .collect();
        let standing_by = view.state.groups.iter().filter(|(id, held)| {
            let me = held
                .standby
                .as_ref()
                .is_some_and(|standby| standby.name == self.me.name);
            me && !groups.iter().any(|group| group.group == **id)
        });
        let standing_by: Vec<Group> = standing_by
            .map(|(id, held)| standby_status(id, held))
            .collect();
        groups.extend(standing_by);
        groups.sort_by(|one, other| one.group.cmp(&other.group));
        groups
    }

    /// Tells the part of a key that is asked for often.
    fn heat(&self, service: &str, key: &str) -> Option<String> {
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

fn led_status(led: ownership::Status, engine: &[dispatch::Status], hot_keys: Vec<HotKey>) -> Group {
    let phase = match (led.settled, led.unreported + led.free + led.moving) {
        (false, _) => "taking-over",
        (true, 0) => "steady",
        (true, _) => "granting",
    };
    let upstreams = led.upstreams.into_iter().map(|upstream| {
        let seen = engine.iter().find(|seen| seen.upstream == upstream.name);
        Upstream {
            state: upstream_state(&upstream).to_owned(),
            name: upstream.name,
            shards: count(upstream.shards),
            in_flight: seen.map_or(0, |seen| seen.in_flight),
            queue: seen.map_or(0, |seen| seen.interactive + seen.batch),
        }
    });
    Group {
        group: led.group,
        epoch: led.epoch,
        role: Role::Leader,
        phase: phase.to_owned(),
        upstreams: upstreams.collect(),
        unassigned: count(led.unreported + led.free),
        hot_keys,
    }
}

/// The service's hot keys whose shards the group owns.
fn hot_keys_of(group: &GroupId, hot: &[dispatch::HotKey], state: &State) -> Vec<HotKey> {
    let service = state
        .manifest
        .as_ref()
        .and_then(|manifest| manifest.service(&group.service));
    let Some(service) = service else {
        return Vec::new();
    };
    let own = hot.iter().filter(|hot| {
        let shard = shard::index_of(&hot.key, service.shards);
        hot.service == group.service && state.owner_of(&group.service, shard) == Some(group)
    });
    own.map(|hot| HotKey {
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

fn count(shards: usize) -> u32 {
    u32::try_from(shards).unwrap_or(u32::MAX)
}

fn standby_status(id: &GroupId, held: &Appointment) -> Group {
    Group {
        group: id.clone(),
        epoch: held.standby_epoch(),
        role: Role::Standby,
        phase: "standing-by".to_owned(),
        upstreams: Vec::new(),
        unassigned: 0,
        hot_keys: Vec::new(),
    }
}

fn log(view: &View) -> Log {
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

/// One sentence for each step from key to upstream.
fn because(
    shards: u32,
    shard: u32,
    group: Option<&GroupId>,
    held: Option<&Appointment>,
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
    because.push(match held {
        Some(held) => {
            format!(
                "the log appoints {} as its leader, epoch {}",
                held.leader.name, held.epoch
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

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

//! The daemon's loops: each waits for one kind of change and tells those concerned.

use std::{sync::Arc, time::Duration};

use crate::core::Core;
use copperwell_backend::{Control, Forward, Pool};
use copperwell_dispatch::Observation;
use copperwell_keyspace::{
    DaemonName, HashMap, HashSet, Member, ServiceName, record::Body, replay::State,
};
use copperwell_log::{
    Vm, VmList, VmState,
    follow::{Status, View},
};
use copperwell_ownership::{self as ownership, Event, Evidence};
use copperwell_peer::{
    control::{Client, Position},
    members::{self as membership},
};
use copperwell_policy::{
    listing::{self, Schedule},
    quarantine::Conviction,
};
use futures::future::join_all;
use rand::RngExt;
use spdlog::{info, warn};
use tokio::{
    sync::{broadcast::error::RecvError, mpsc},
    time::{Instant, sleep},
};

/// How often the groups are told of a state that did not change, for what did not reach them.
const APPLY_INTERVAL: Duration = Duration::from_secs(4);

/// How often the groups are told when the log was last seen.
const CONTACT_INTERVAL: Duration = Duration::from_secs(1);

/// How often new convictions are looked for.
const QUARANTINE_INTERVAL: Duration = Duration::from_millis(250);

/// How often the shards' requests are counted.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Passes each new agreed state on; most views tell only that the log was read.
pub(crate) async fn states<C: Control, F: Forward>(core: Arc<Core<C, F>>, pool: Arc<Pool>) {
    let mut view = core.view.clone();
    let mut before = Arc::new(State::default());
    let mut applied = Instant::now();
    loop {
        let now = view.borrow_and_update().clone();
        let is_same = Arc::ptr_eq(&before, &now.state);
        if !is_same {
            report(&before, &now.state);
            core.take_state(&before, &now.state, &pool);
        }
        if !is_same || applied.elapsed() >= APPLY_INTERVAL {
            core.groups.apply(&now.state);
            applied = Instant::now();
        }
        core.take_position(&now);
        before = now.state.clone();
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Tells the groups who was lost.
pub(crate) async fn members<C: Control, F: Forward>(core: Arc<Core<C, F>>) {
    let mut events = core.members.events();
    loop {
        match events.recv().await {
            Ok(event) => member_event(&core, event),
            // The roster holds what missed events would have told.
            Err(RecvError::Lagged(_)) => recheck(&core),
            Err(RecvError::Closed) => return,
        }
    }
}

/// Reads the platform's list of VMs.
pub(crate) async fn vms<C: Control, F: Forward>(core: Arc<Core<C, F>>, list: Arc<impl VmList>) {
    let mut listed = HashSet::default();
    let mut schedule = Schedule::new();
    loop {
        let need = core.need_of_vms(&listed);
        if schedule.is_due(need, listed.len(), Instant::now()) {
            if let Ok(vms) = list.list().await {
                listed = vms.iter().map(|vm| vm.name.clone()).collect();
                core.members
                    .update_vms(vms.into_iter().map(listed_vm).collect());
            }
            schedule.record_read(need, listed.len(), Instant::now());
        }
        // Spread, so that the platform is not asked by all daemons at once.
        let part = rand::rng().random_range(0.7..1.3);
        sleep(listing::INTERVAL_MIN.mul_f64(part)).await;
    }
}

/// Handles what the groups tell.
pub(crate) async fn events(mut events: mpsc::Receiver<Event>, records: mpsc::Sender<Body>) {
    while let Some(event) = events.recv().await {
        match event {
            Event::Led { group, epoch, .. } => {
                let group = group.to_string();
                info!("leading", kv: { group, epoch });
            }
            Event::SteppedDown { group, epoch, .. } => {
                let group = group.to_string();
                info!("stepped down", kv: { group, epoch });
            }
            Event::Move(moved) => {
                // A full queue drops the record; its group asks again.
                let _ = records.try_send(Body::Move(moved));
            }
            Event::Retire(retire) => {
                let _ = records.try_send(Body::Retire(retire));
            }
        }
    }
}

/// Tells the groups when the log was last seen, by this daemon or by a peer.
pub(crate) async fn contact<C: Control, F: Forward>(core: Arc<Core<C, F>>) {
    loop {
        sleep(CONTACT_INTERVAL).await;
        if let Some(seen) = core.members.log_seen() {
            core.groups.handle_evidence(Evidence::Contact(seen));
        }
    }
}

/// Tells the other leaders and the standbys which requests crash servers, each one once it can be
/// reached, and those that are appointed later too.
pub(crate) async fn quarantine<C: Control, F: Forward>(core: Arc<Core<C, F>>, client: Client) {
    let mut told: HashMap<Member, HashSet<u64>> = HashMap::default();
    loop {
        sleep(QUARANTINE_INTERVAL).await;
        let convictions = core.engine.quarantine_export();
        if convictions.is_empty() {
            told.clear();
            continue;
        }
        let concerned = leaders_and_standbys(&core);
        told.retain(|member, _| concerned.contains(member));
        let news = concerned.into_iter().filter_map(|member| {
            let known = told.get(&member);
            let is_news = |conviction: &&Conviction| {
                known.is_none_or(|known| !known.contains(&conviction.fingerprint))
            };
            let news: Vec<Conviction> = convictions.iter().filter(is_news).copied().collect();
            (!news.is_empty()).then_some((member, news))
        });
        let telling = news.map(|(member, news)| {
            let telling = client.quarantine(member.control, news);
            async move { telling.await.is_ok().then_some(member) }
        });
        let known: HashSet<u64> = convictions
            .iter()
            .map(|conviction| conviction.fingerprint)
            .collect();
        for member in join_all(telling).await.into_iter().flatten() {
            told.insert(member, known.clone());
        }
        for known_there in told.values_mut() {
            // One that lapsed is news if it comes again.
            known_there.retain(|fingerprint| known.contains(fingerprint));
        }
    }
}

/// The other live daemons that lead groups of services that this one leads groups of, and the
/// standbys.
fn leaders_and_standbys<C: Control, F: Forward>(core: &Core<C, F>) -> HashSet<Member> {
    let state = core.state();
    let live: HashSet<Member> = core.live().into_iter().collect();
    let led: HashSet<ServiceName> = core
        .groups
        .led()
        .into_iter()
        .map(|group| group.service)
        .collect();
    let concerned = state
        .groups
        .iter()
        .filter(|(group, _)| led.contains(&group.service));
    let members =
        concerned.flat_map(|(_, held)| std::iter::once(&held.leader).chain(&held.standby));
    let others = members.filter(|member| member.name != core.me.name);
    others
        .filter(|member| live.contains(*member))
        .cloned()
        .collect()
}

/// Tells the groups which shards are asked for.
pub(crate) async fn load<C: Control, F: Forward>(core: Arc<Core<C, F>>) {
    loop {
        sleep(LOAD_INTERVAL).await;
        let state = core.state();
        let services = state
            .manifest
            .iter()
            .flat_map(|manifest| &manifest.services);
        for service in services {
            for (shard, requests) in core.table.take_requests(&service.name) {
                core.groups.count_requests(&service.name, shard, requests);
            }
        }
    }
}

/// Passes on what the request engine saw of upstreams.
pub(crate) async fn observations<C: Control, F: Forward>(
    core: Arc<Core<C, F>>,
    mut observations: mpsc::Receiver<Observation>,
) {
    while let Some(observation) = observations.recv().await {
        core.groups.observe(&translate(observation));
    }
}

fn member_event<C: Control, F: Forward>(core: &Core<C, F>, event: membership::Event) {
    match event {
        membership::Event::Lost(member) => {
            warn!("lost a daemon", kv: { name = member.name.to_string() });
            if !core.is_leaving() {
                core.groups.take_over_from(&member.name);
            }
        }
        membership::Event::Joined(member) => {
            info!("heard of a daemon", kv: { name = member.name.to_string() });
        }
        membership::Event::Replaced { old, .. } => {
            core.groups.take_over_from(&old.name);
            core.groups.handle_evidence(stopped(old));
        }
        membership::Event::Gone(member) => {
            core.groups.take_over_from(&member.name);
            core.groups.handle_evidence(stopped(member));
        }
    }
}

fn stopped(member: Member) -> Evidence {
    Evidence::Stopped {
        daemon: member.name,
        incarnation: member.incarnation,
    }
}

fn translate(observation: Observation) -> ownership::Observation {
    match observation {
        Observation::Fenced {
            service, upstream, ..
        } => ownership::Observation::Fenced { service, upstream },
        Observation::Unreachable { service, upstream } => {
            ownership::Observation::Unreachable { service, upstream }
        }
    }
}

fn recheck<C: Control, F: Forward>(core: &Core<C, F>) {
    let live: HashSet<DaemonName> = core
        .live_here()
        .into_iter()
        .map(|member| member.name)
        .collect();
    for held in core.state().groups.values() {
        if held.leader.data_centre == core.me.data_centre && !live.contains(&held.leader.name) {
            core.groups.take_over_from(&held.leader.name);
        }
    }
}

impl<C: Control, F: Forward> Core<C, F> {
    fn take_state(&self, before: &State, state: &Arc<State>, pool: &Pool) {
        self.way.set_state(state.clone());
        self.members.watch_closely(partners(state, &self.me.name));
        // Comparing two manifests costs less than what follows, and most records change none.
        if let Some(manifest) = &state.manifest
            && before.manifest.as_ref() != Some(manifest)
        {
            pool.follow(manifest);
            self.engine.set_manifest(manifest.clone());
        }
    }

    fn take_position(&self, view: &View) {
        let sees_log = view.status == Status::Current && view.reads_log;
        self.members.set_position(Position {
            log_next: view.next,
            manifest: view.state.version(),
            sees_log,
        });
    }
}

/// The daemons with which this one shares a group.
fn partners(state: &State, me: &DaemonName) -> HashSet<DaemonName> {
    let mut partners = HashSet::default();
    for held in state.groups.values() {
        let Some(standby) = &held.standby else {
            continue;
        };
        if held.leader.name == *me {
            partners.insert(standby.name.clone());
        } else if standby.name == *me {
            partners.insert(held.leader.name.clone());
        }
    }
    partners
}

fn report(before: &State, now: &State) {
    let version = now.version();
    if version != before.version() {
        info!("manifest in force", kv: { version });
    }
}

fn listed_vm(vm: Vm) -> membership::Vm {
    membership::Vm {
        name: vm.name,
        data_centre: vm.data_centre,
        control: vm.control,
        leaving: vm.state == VmState::Leaving,
    }
}

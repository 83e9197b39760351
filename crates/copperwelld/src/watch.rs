//! The daemon's background loops, each of which propagates one kind of change.

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

/// How often an unchanged state is applied to the groups again, in case an earlier update did not
/// reach them.
const APPLY_INTERVAL: Duration = Duration::from_secs(4);

/// The interval between reports to the groups of when the log was last reachable.
const CONTACT_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between checks for newly quarantined requests.
const QUARANTINE_INTERVAL: Duration = Duration::from_millis(250);

/// The interval between collections of the shards' request counts.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Propagates each new replicated state; most views only report that the log was read.
pub(crate) async fn states<C: Control, F: Forward>(core: Arc<Core<C, F>>, pool: Arc<Pool>) {
    let mut view = core.view.clone();
    let mut previous = Arc::new(State::default());
    let mut applied_at = Instant::now();
    loop {
        let current = view.borrow_and_update().clone();
        let is_same = Arc::ptr_eq(&previous, &current.state);
        if !is_same {
            log_manifest(&previous, &current.state);
            core.apply_state(&previous, &current.state, &pool);
        }
        if !is_same || applied_at.elapsed() >= APPLY_INTERVAL {
            core.groups.apply(&current.state);
            applied_at = Instant::now();
        }
        core.publish_position(&current);
        previous = current.state.clone();
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Reports membership changes to the groups.
pub(crate) async fn members<C: Control, F: Forward>(core: Arc<Core<C, F>>) {
    let mut events = core.members.events();
    loop {
        match events.recv().await {
            Ok(event) => member_event(&core, event),
            // The roster contains the outcome of the missed events.
            Err(RecvError::Lagged(_)) => suspect_missing_leaders(&core),
            Err(RecvError::Closed) => return,
        }
    }
}

/// Reads the platform's list of VMs whenever a read is due.
pub(crate) async fn vms<C: Control, F: Forward>(core: Arc<Core<C, F>>, list: Arc<impl VmList>) {
    let mut listed = HashSet::default();
    let mut schedule = Schedule::new();
    loop {
        let need = core.vm_list_need(&listed);
        if schedule.is_due(need, listed.len(), Instant::now()) {
            if let Ok(vms) = list.list().await {
                listed = vms.iter().map(|vm| vm.name.clone()).collect();
                core.members
                    .update_vms(vms.into_iter().map(to_member_vm).collect());
            }
            schedule.record_read(need, listed.len(), Instant::now());
        }
        // Jitter keeps the daemons from querying the platform all at once.
        let jitter = rand::rng().random_range(0.7..1.3);
        sleep(listing::INTERVAL_MIN.mul_f64(jitter)).await;
    }
}

/// Logs leadership events of the groups and queues their records for the log.
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
                // A full queue drops the record; its group sends it again.
                let _ = records.try_send(Body::Move(moved));
            }
            Event::Retire(retire) => {
                let _ = records.try_send(Body::Retire(retire));
            }
        }
    }
}

/// Reports to the groups when the log was last reachable for this daemon or a peer.
pub(crate) async fn contact<C: Control, F: Forward>(core: Arc<Core<C, F>>) {
    loop {
        sleep(CONTACT_INTERVAL).await;
        if let Some(seen) = core.members.log_last_seen() {
            core.groups.handle_evidence(Evidence::Contact(seen));
        }
    }
}

/// Sends the quarantined requests, which crash servers, to the other leaders and the standbys.
///
/// Daemons that are unreachable or not yet appointed receive them later.
pub(crate) async fn quarantine<C: Control, F: Forward>(core: Arc<Core<C, F>>, client: Client) {
    let mut sent: HashMap<Member, HashSet<u64>> = HashMap::default();
    loop {
        sleep(QUARANTINE_INTERVAL).await;
        let convictions = core.engine.quarantine_export();
        if convictions.is_empty() {
            sent.clear();
            continue;
        }
        let recipients = leaders_and_standbys(&core);
        sent.retain(|member, _| recipients.contains(member));
        let unsent = recipients.into_iter().filter_map(|member| {
            let known = sent.get(&member);
            let is_unsent = |conviction: &&Conviction| {
                known.is_none_or(|known| !known.contains(&conviction.fingerprint))
            };
            let unsent: Vec<Conviction> = convictions.iter().filter(is_unsent).copied().collect();
            (!unsent.is_empty()).then_some((member, unsent))
        });
        let sends = unsent.map(|(member, unsent)| {
            let sends = client.quarantine(member.control, unsent);
            async move { sends.await.is_ok().then_some(member) }
        });
        let fingerprints: HashSet<u64> = convictions
            .iter()
            .map(|conviction| conviction.fingerprint)
            .collect();
        for member in join_all(sends).await.into_iter().flatten() {
            sent.insert(member, fingerprints.clone());
        }
        for sent_fingerprints in sent.values_mut() {
            // An expired entry counts as new if it is quarantined again.
            sent_fingerprints.retain(|fingerprint| fingerprints.contains(fingerprint));
        }
    }
}

/// Returns the other live daemons that lead, or stand by for, groups of the services of which this
/// one leads a group.
fn leaders_and_standbys<C: Control, F: Forward>(core: &Core<C, F>) -> HashSet<Member> {
    let state = core.state();
    let live: HashSet<Member> = core.live().into_iter().collect();
    let led: HashSet<ServiceName> = core
        .groups
        .led()
        .into_iter()
        .map(|group| group.service)
        .collect();
    let service_groups = state
        .groups
        .iter()
        .filter(|(group, _)| led.contains(&group.service));
    let members = service_groups.flat_map(|(_, appointment)| {
        std::iter::once(&appointment.leader).chain(&appointment.standby)
    });
    let others = members.filter(|member| member.name != core.me.name);
    others
        .filter(|member| live.contains(*member))
        .cloned()
        .collect()
}

/// Reports the shards' request counts to the groups.
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

/// Forwards the request engine's observations of upstreams to the groups.
pub(crate) async fn observations<C: Control, F: Forward>(
    core: Arc<Core<C, F>>,
    mut observations: mpsc::Receiver<Observation>,
) {
    while let Some(observation) = observations.recv().await {
        core.groups.observe(&to_ownership(observation));
    }
}

fn member_event<C: Control, F: Forward>(core: &Core<C, F>, event: membership::Event) {
    match event {
        membership::Event::Lost(member) => {
            warn!("daemon is unreachable", kv: { name = member.name.to_string() });
            if !core.is_leaving() {
                core.groups.take_over_from(&member.name);
            }
        }
        membership::Event::Joined(member) => {
            info!("daemon is reachable", kv: { name = member.name.to_string() });
        }
        membership::Event::Replaced { old, .. } => {
            core.groups.take_over_from(&old.name);
            core.groups.handle_evidence(stopped_evidence(old));
        }
        membership::Event::Gone(member) => {
            core.groups.take_over_from(&member.name);
            core.groups.handle_evidence(stopped_evidence(member));
        }
    }
}

fn stopped_evidence(member: Member) -> Evidence {
    Evidence::Stopped {
        daemon: member.name,
        incarnation: member.incarnation,
    }
}

fn to_ownership(observation: Observation) -> ownership::Observation {
    match observation {
        Observation::Fenced {
            service, upstream, ..
        } => ownership::Observation::Fenced { service, upstream },
        Observation::Unreachable { service, upstream } => {
            ownership::Observation::Unreachable { service, upstream }
        }
    }
}

fn suspect_missing_leaders<C: Control, F: Forward>(core: &Core<C, F>) {
    let live: HashSet<DaemonName> = core
        .live_in_data_centre()
        .into_iter()
        .map(|member| member.name)
        .collect();
    for appointment in core.state().groups.values() {
        if appointment.leader.data_centre == core.me.data_centre
            && !live.contains(&appointment.leader.name)
        {
            core.groups.take_over_from(&appointment.leader.name);
        }
    }
}

impl<C: Control, F: Forward> Core<C, F> {
    fn apply_state(&self, previous: &State, state: &Arc<State>, pool: &Pool) {
        self.router.set_state(state.clone());
        self.members.set_partners(group_peers(state, &self.me.name));
        // The comparison is cheaper than applying a manifest, and most records change none.
        if let Some(manifest) = &state.manifest
            && previous.manifest.as_ref() != Some(manifest)
        {
            pool.follow(manifest);
            self.engine.set_manifest(manifest.clone());
        }
    }

    fn publish_position(&self, view: &View) {
        let sees_log = view.status == Status::Current && view.reads_log;
        self.members.set_position(Position {
            log_next: view.next,
            manifest: view.state.version(),
            sees_log,
        });
    }
}

/// Returns the daemons with which this one shares a group as leader or standby.
fn group_peers(state: &State, me: &DaemonName) -> HashSet<DaemonName> {
    let mut group_peers = HashSet::default();
    for appointment in state.groups.values() {
        let Some(standby) = &appointment.standby else {
            continue;
        };
        if appointment.leader.name == *me {
            group_peers.insert(standby.name.clone());
        } else if standby.name == *me {
            group_peers.insert(appointment.leader.name.clone());
        }
    }
    group_peers
}

fn log_manifest(previous: &State, current: &State) {
    let version = current.version();
    if version != previous.version() {
        info!("manifest in force", kv: { version });
    }
}

fn to_member_vm(vm: Vm) -> membership::Vm {
    membership::Vm {
        name: vm.name,
        data_centre: vm.data_centre,
        control: vm.control,
        leaving: vm.state == VmState::Leaving,
    }
}

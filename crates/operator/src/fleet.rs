//! Status of all daemons that are reachable from a few given ones.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use crate::{
    admin::Client,
    status::{Group, Role, Status},
};
use copperwell_keyspace::{
    HashMap, HashSet, Member,
    id::{DaemonName, DataCentreName, GroupId, ManifestVersion},
};
use serde::Serialize;
use tokio::{sync::Semaphore, task::JoinSet};

/// How many daemons are queried at the same time.
const CONCURRENT_REQUESTS_MAX: usize = 64;
/// How many addresses are queried in all.
const DAEMONS_MAX: usize = 4096;

/// The status of all known daemons.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Fleet {
    /// The daemons that respond, by name.
    pub daemons: BTreeMap<DaemonName, Status>,
    /// Daemons that others know and that do not respond.
    pub silent: Vec<Member>,
    /// Given addresses that do not respond.
    pub unreachable: Vec<SocketAddr>,
}

/// How far a manifest has been rolled out in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Reach {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// How many daemons have this manifest or a later one in force.
    pub in_force: usize,
    /// How many daemons respond.
    pub answering: usize,
    /// How many daemons are known to others and do not respond.
    pub silent: usize,
}

impl Reach {
    /// Whether no daemon of the data centre responds.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        self.answering == 0
    }

    /// Whether at least one daemon responds and the manifest is in force at all that do.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.answering > 0 && self.in_force == self.answering
    }
}

/// A group as its leader and standby report it.
#[derive(Debug, Clone, Serialize)]
pub struct GroupReport {
    /// The group.
    pub id: GroupId,
    /// The leader with the highest epoch that is reported.
    pub leader: Option<DaemonName>,
    /// The daemon that reports to be the standby.
    pub standby: Option<DaemonName>,
    /// The group as that leader reports it.
    #[serde(rename = "told")]
    pub leader_view: Option<Group>,
}

impl Fleet {
    /// Queries the daemons at `seeds` and, in turn, all daemons that those know of.
    pub async fn discover(seeds: &[SocketAddr]) -> Self {
        let mut fleet = Self::default();
        let mut queried: HashSet<SocketAddr> = HashSet::default();
        let mut known: HashMap<SocketAddr, Member> = HashMap::default();
        let mut next: Vec<SocketAddr> = seeds.to_vec();
        while !next.is_empty() {
            next.retain(|address| queried.len() < DAEMONS_MAX && queried.insert(*address));
            let mut statuses = Vec::new();
            for (address, response) in query_all(std::mem::take(&mut next)).await {
                match (response, known.get(&address)) {
                    (Some(status), _) => statuses.push(status),
                    (None, Some(member)) => fleet.silent.push(member.clone()),
                    (None, None) => fleet.unreachable.push(address),
                }
            }
            for status in statuses {
                for other in &status.members {
                    known.insert(other.member.admin, other.member.clone());
                    next.push(other.member.admin);
                }
                fleet.add(status);
            }
        }
        // Other daemons may still list a replaced daemon at its former address.
        let daemons = &fleet.daemons;
        fleet
            .silent
            .retain(|member| !daemons.contains_key(&member.name));
        fleet.silent.sort_by(|one, other| one.name.cmp(&other.name));
        fleet
    }

    /// Returns the highest version that a daemon has in force; zero if there is none.
    #[must_use]
    pub fn version(&self) -> ManifestVersion {
        let versions = self.daemons.values().map(|status| status.manifest);
        versions.max().unwrap_or(0)
    }

    /// Returns how far a manifest has been rolled out in each data centre, including the given ones
    /// in which no daemon is known.
    #[must_use]
    pub fn reach(
        &self,
        version: ManifestVersion,
        digest: u64,
        data_centres: impl IntoIterator<Item = DataCentreName>,
    ) -> Vec<Reach> {
        let mut reaches: BTreeMap<DataCentreName, Reach> = BTreeMap::new();
        let empty = |name: &DataCentreName| Reach {
            data_centre: name.clone(),
            in_force: 0,
            answering: 0,
            silent: 0,
        };
        for name in data_centres {
            reaches.insert(name.clone(), empty(&name));
        }
        for status in self.daemons.values() {
            let name = &status.daemon.data_centre;
            let reach = reaches.entry(name.clone()).or_insert_with(|| empty(name));
            let is_same = status.manifest == version && status.digest == digest;
            reach.answering += 1;
            reach.in_force += usize::from(is_same || status.manifest > version);
        }
        for member in &self.silent {
            let name = &member.data_centre;
            let reach = reaches.entry(name.clone()).or_insert_with(|| empty(name));
            reach.silent += 1;
        }
        reaches.into_values().collect()
    }

    /// Returns the groups that have a leader or a standby, sorted by id.
    #[must_use]
    pub fn groups(&self) -> Vec<GroupReport> {
        let mut groups: BTreeMap<GroupId, GroupReport> = BTreeMap::new();
        for status in self.daemons.values() {
            for group in &status.groups {
                let report = groups
                    .entry(group.group.clone())
                    .or_insert_with(|| GroupReport {
                        id: group.group.clone(),
                        leader: None,
                        standby: None,
                        leader_view: None,
                    });
                report.add(&status.daemon.name, group);
            }
        }
        groups.into_values().collect()
    }

    fn add(&mut self, status: Status) {
        let name = status.daemon.name.clone();
        let is_later_incarnation =
            |current: &Status| status.daemon.incarnation > current.daemon.incarnation;
        if self.daemons.get(&name).is_none_or(is_later_incarnation) {
            self.daemons.insert(name, status);
        }
    }
}

impl GroupReport {
    fn add(&mut self, daemon: &DaemonName, group: &Group) {
        match group.role {
            Role::Standby => self.standby = Some(daemon.clone()),
            Role::Leader => {
                let is_later_epoch = |current: &Group| group.epoch > current.epoch;
                if self.leader_view.as_ref().is_none_or(is_later_epoch) {
                    self.leader = Some(daemon.clone());
                    self.leader_view = Some(group.clone());
                }
            }
        }
    }
}

/// Queries daemons concurrently, at most [`CONCURRENT_REQUESTS_MAX`] at a time.
async fn query_all(addresses: Vec<SocketAddr>) -> Vec<(SocketAddr, Option<Status>)> {
    let permits = Arc::new(Semaphore::new(CONCURRENT_REQUESTS_MAX));
    let mut queries = JoinSet::new();
    for address in addresses {
        let permits = permits.clone();
        queries.spawn(async move {
            let _permit = permits.acquire_owned().await;
            (address, Client::new(address).status().await.ok())
        });
    }
    queries.join_all().await
}

//! All daemons that one of them knows of.

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

/// Daemons that are asked at the same time.
const ASKED_MAX: usize = 64;
/// The most daemons that are asked.
const DAEMONS_MAX: usize = 4096;

/// What all daemons tell of themselves.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Fleet {
    /// The answers, by name.
    pub daemons: BTreeMap<DaemonName, Status>,
    /// Daemons that others know and that do not answer.
    pub silent: Vec<Member>,
    /// Addresses that were given and do not answer.
    pub unreachable: Vec<SocketAddr>,
}

/// How far a manifest has come in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Reach {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Daemons that have it, or a later one, in force.
    pub in_force: usize,
    /// Daemons that answer.
    pub answering: usize,
    /// Daemons that others know and that do not answer.
    pub silent: usize,
}

impl Reach {
    /// Whether no daemon of the data centre answers.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.answering == 0
    }

    /// Whether the manifest is in force at every daemon that answers.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.answering > 0 && self.in_force == self.answering
    }
}

/// A group as its leader and standby tell of it.
#[derive(Debug, Clone, Serialize)]
pub struct GroupReport {
    /// The group.
    pub id: GroupId,
    /// Who leads it, by the highest epoch that is told.
    pub leader: Option<DaemonName>,
    /// Who stands by.
    pub standby: Option<DaemonName>,
    /// What the leader tells.
    pub told: Option<Group>,
}

impl Fleet {
    /// Asks the daemons at `seeds`, and all that these know of.
    pub async fn ask(seeds: &[SocketAddr]) -> Self {
        let mut fleet = Self::default();
        let mut asked: HashSet<SocketAddr> = HashSet::default();
        let mut known: HashMap<SocketAddr, Member> = HashMap::default();
        let mut next: Vec<SocketAddr> = seeds.to_vec();
        while !next.is_empty() {
            next.retain(|address| asked.len() < DAEMONS_MAX && asked.insert(*address));
            let mut found = Vec::new();
            for (address, answer) in ask_all(std::mem::take(&mut next)).await {
                match (answer, known.get(&address)) {
                    (Some(status), _) => found.push(status),
                    (None, Some(member)) => fleet.silent.push(member.clone()),
                    (None, None) => fleet.unreachable.push(address),
                }
            }
            for status in found {
                for other in &status.members {
                    known.insert(other.member.admin, other.member.clone());
                    next.push(other.member.admin);
                }
                fleet.add(status);
            }
        }
        // A daemon that was replaced may still be known by its last address.
        let daemons = &fleet.daemons;
        fleet
            .silent
            .retain(|member| !daemons.contains_key(&member.name));
        fleet.silent.sort_by(|one, other| one.name.cmp(&other.name));
        fleet
    }

    /// The highest version that a daemon has in force; zero for none.
    #[must_use]
    pub fn version(&self) -> ManifestVersion {
        let versions = self.daemons.values().map(|status| status.manifest);
        versions.max().unwrap_or(0)
    }

    /// How far a manifest has come in each data centre, the named ones included.
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

    /// The groups that are led or stood by for, in order.
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
                        told: None,
                    });
                report.add(&status.daemon.name, group);
            }
        }
        groups.into_values().collect()
    }

    fn add(&mut self, status: Status) {
        let name = status.daemon.name.clone();
        let is_newer = |held: &Status| status.daemon.incarnation > held.daemon.incarnation;
        if self.daemons.get(&name).is_none_or(is_newer) {
            self.daemons.insert(name, status);
        }
    }
}

impl GroupReport {
    fn add(&mut self, daemon: &DaemonName, group: &Group) {
        match group.role {
            Role::Standby => self.standby = Some(daemon.clone()),
            Role::Leader => {
                let is_later = |held: &Group| group.epoch > held.epoch;
                if self.told.as_ref().is_none_or(is_later) {
                    self.leader = Some(daemon.clone());
                    self.told = Some(group.clone());
                }
            }
        }
    }
}

/// Asks all at once, but a bounded number at a time.
async fn ask_all(addresses: Vec<SocketAddr>) -> Vec<(SocketAddr, Option<Status>)> {
    let permits = Arc::new(Semaphore::new(ASKED_MAX));
    let mut asked = JoinSet::new();
    for address in addresses {
        let permits = permits.clone();
        asked.spawn(async move {
            let _permit = permits.acquire_owned().await;
            (address, Client::new(address).status().await.ok())
        });
    }
    asked.join_all().await
}

//! Owners of shards as runs of equal owners, which keeps snapshots small.

use std::sync::Arc;

use crate::{
    HashMap,
    id::{GroupId, ServiceName},
    manifest::SHARDS_TOTAL_MAX,
};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// Owners of the shards of all services.
type Owners = HashMap<ServiceName, Arc<Vec<GroupId>>>;

/// The owners of one service.
#[derive(Serialize, Deserialize)]
struct Runs {
    groups: Vec<GroupId>,
    runs: Vec<Run>,
}

/// Consecutive shards of one owner.
#[derive(Serialize, Deserialize)]
struct Run {
    /// Position in [`Runs::groups`].
    group: u32,
    /// How many shards.
    shards: u32,
}

/// Writes owners.
///
/// # Errors
///
/// The serializer's own.
pub(crate) fn serialize<S: Serializer>(owners: &Owners, serializer: S) -> Result<S::Ok, S::Error> {
    let packed: HashMap<&ServiceName, Runs> = owners
        .iter()
        .map(|(service, groups)| (service, pack(groups)))
        .collect();
    packed.serialize(serializer)
}

/// Reads owners.
///
/// # Errors
///
/// If a run names no group or there are more shards than a manifest may have.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Owners, D::Error> {
    let packed: HashMap<ServiceName, Runs> = HashMap::deserialize(deserializer)?;
    let mut room = SHARDS_KEPT_MAX;
    let mut owners = Owners::default();
    for (service, runs) in packed {
        let groups = unpack(&runs, &mut room).ok_or_else(|| D::Error::custom("bad runs"))?;
        owners.insert(service, Arc::new(groups));
    }
    Ok(owners)
}

/// The most shards that a state keeps, those of removed services included.
pub(crate) const SHARDS_KEPT_MAX: u32 = 2 * SHARDS_TOTAL_MAX;

fn pack(owners: &[GroupId]) -> Runs {
    let mut positions: HashMap<&GroupId, u32> = HashMap::default();
    let mut packed = Runs {
        groups: Vec::new(),
        runs: Vec::new(),
    };
    for same in owners.chunk_by(|one, other| one == other) {
        let group = *positions.entry(&same[0]).or_insert_with(|| {
            packed.groups.push(same[0].clone());
            packed.groups.len() as u32 - 1
        });
        let shards = same.len() as u32;
        packed.runs.push(Run { group, shards });
    }
    packed
}

fn unpack(packed: &Runs, room: &mut u32) -> Option<Vec<GroupId>> {
    let mut owners = Vec::new();
    for run in &packed.runs {
        let group = packed.groups.get(run.group as usize)?;
        *room = room.checked_sub(run.shards)?;
        owners.resize(owners.len() + run.shards as usize, group.clone());
    }
    Some(owners)
}

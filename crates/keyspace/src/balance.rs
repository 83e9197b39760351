//! Plans which shards should move to another group.
//!
//! A plan is only a target: the leader of the old group first releases a shard and then appends the
//! [`crate::record::Move`].

use crate::{
    HashMap,
    id::{GroupId, ServiceName, ShardIndex},
    manifest::{Group, Manifest, Owners, Service},
    replay::State,
};

/// How far a group may deviate from its share before shards move, in percent of the share.
pub const TOLERANCE_PERCENT: u64 = 10;

/// Shards of one service that should move from one group to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedMove {
    /// The service.
    pub service: ServiceName,
    /// The group that owns them now.
    pub from: GroupId,
    /// The group that should own them.
    pub to: GroupId,
    /// The shards, ascending.
    pub shards: Vec<ShardIndex>,
}

/// Returns the fewest moves that give each group its share by open slots.
///
/// Open slots are those of upstreams that do not drain. Shards of groups without open slots always
/// move; between other groups, no shard moves while every group is within [`TOLERANCE_PERCENT`] of
/// its share.
#[must_use]
pub fn plan(state: &State) -> Vec<PlannedMove> {
    let Some(manifest) = &state.manifest else {
        return Vec::new();
    };
    let services = manifest.services.iter();
    services
        .flat_map(|service| plan_service(state, manifest, service))
        .collect()
}

fn plan_service(state: &State, manifest: &Manifest, service: &Service) -> Vec<PlannedMove> {
    let Some(owners) = state.owners.get(&service.name) else {
        return Vec::new();
    };
    let open: Vec<Group> = manifest
        .groups(service)
        .into_iter()
        .filter(|group| group.open_slots() > 0)
        .collect();
    let mut shares = shares(&open, owners);
    let mut sources = surplus(owners, &shares);
    let mut planned_moves = Vec::new();
    for share in &mut shares {
        while share.missing() > 0 {
            let Some(source) = sources.last_mut() else {
                return planned_moves;
            };
            let count = share.missing().min(source.shards.len());
            let mut shards = source.shards.split_off(source.shards.len() - count);
            shards.sort_unstable();
            share.held += count;
            planned_moves.push(PlannedMove {
                service: service.name.clone(),
                from: source.from.clone(),
                to: share.group.clone(),
                shards,
            });
            if source.shards.is_empty() {
                sources.pop();
            }
        }
    }
    planned_moves
}

/// The numbers of shards that a group has and should have.
struct Share {
    group: GroupId,
    target: usize,
    held: usize,
}

impl Share {
    fn missing(&self) -> usize {
        self.target.saturating_sub(self.held)
    }
}

/// Shards that a group should give up.
struct Surplus {
    from: GroupId,
    shards: Vec<ShardIndex>,
}

/// Returns each open group's share of the shards; the shares add up to all shards.
///
/// If every group is within the tolerance, each keeps the shards that it has. Otherwise all shards
/// are divided by open slots.
fn shares(open: &[Group], owners: &Owners) -> Vec<Share> {
    let held = count(owners);
    let ideal = apportion(open, owners.len() as usize);
    let mut shares: Vec<Share> = open
        .iter()
        .zip(&ideal)
        .map(|(group, target)| Share {
            group: group.id.clone(),
            target: *target,
            held: held.get(&group.id).copied().unwrap_or(0),
        })
        .collect();
    let is_within_tolerance = |share: &Share| {
        let slack = (share.target as u64 * TOLERANCE_PERCENT).div_ceil(100);
        share.held.abs_diff(share.target) as u64 <= slack
    };
    if shares.iter().all(is_within_tolerance) {
        let unassigned =
            owners.len() as usize - shares.iter().map(|share| share.held).sum::<usize>();
        keep_held(&mut shares, unassigned);
    }
    shares
}

/// Lets groups keep their shards; shards of no open group go to the groups with too few.
fn keep_held(shares: &mut [Share], unassigned: usize) {
    let mut remaining = unassigned;
    for share in shares.iter_mut() {
        let added = share.missing().min(remaining);
        remaining -= added;
        share.target = share.held + added;
    }
}

/// Divides shards by open slots; the rest goes to the largest remainders.
fn apportion(open: &[Group], shards: usize) -> Vec<usize> {
    let slots: u64 = open.iter().map(Group::open_slots).sum();
    let product = |group: &Group| shards as u64 * group.open_slots();
    let mut targets: Vec<usize> = open
        .iter()
        .map(|group| (product(group) / slots) as usize)
        .collect();
    let mut by_remainder: Vec<usize> = (0..open.len()).collect();
    by_remainder.sort_by_key(|index| std::cmp::Reverse(product(&open[*index]) % slots));
    let remaining = shards - targets.iter().sum::<usize>();
    for index in by_remainder.into_iter().take(remaining) {
        targets[index] += 1;
    }
    targets
}

/// Returns the shards to give up: all shards of groups without open slots, and those above the
/// share of others.
fn surplus(owners: &Owners, shares: &[Share]) -> Vec<Surplus> {
    let targets: HashMap<&GroupId, usize> = shares
        .iter()
        .map(|share| (&share.group, share.target))
        .collect();
    let mut from: Vec<GroupId> = count(owners)
        .into_iter()
        .filter(|(group, held)| *held > targets.get(group).copied().unwrap_or(0))
        .map(|(group, _)| group)
        .collect();
    from.sort();
    from.into_iter()
        .map(|group| {
            let mut shards = owners.positions_of(&group);
            let kept = targets.get(&group).copied().unwrap_or(0);
            let shards = shards.split_off(kept);
            Surplus {
                from: group,
                shards,
            }
        })
        .collect()
}

/// Counts the shards of each group.
fn count(owners: &Owners) -> HashMap<GroupId, usize> {
    let mut counts: HashMap<GroupId, usize> = HashMap::default();
    for (shards, group) in owners.runs() {
        match counts.get_mut(group) {
            Some(count) => *count += shards.len(),
            None => {
                counts.insert(group.clone(), shards.len());
            }
        }
    }
    counts
}

//! Which shards should change their group.
//!
//! The plan is only a target: the leader of the releasing group lets a shard go first, and then
//! appends the [`crate::record::Move`].

use crate::{
    HashMap,
    id::{GroupId, ServiceName, ShardIndex},
    manifest::{Group, Manifest, Owners, Service},
    replay::State,
};

/// How far over its share a group may be before shards move, in percent of the share.
pub const TOLERANCE_PERCENT: u64 = 10;

/// Shards of one service that should go from one group to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shift {
    /// The service.
    pub service: ServiceName,
    /// The group that owns them now.
    pub from: GroupId,
    /// The group that should.
    pub to: GroupId,
    /// The shards, ascending.
    pub shards: Vec<ShardIndex>,
}

/// The moves that give each group its share by open slots, the fewest there are.
///
/// Shards of groups without an open upstream go in any case; between others none moves as long
/// as every group is within [`TOLERANCE_PERCENT`] of its share.
#[must_use]
pub fn plan(state: &State) -> Vec<Shift> {
    let Some(manifest) = &state.manifest else {
        return Vec::new();
    };
    let services = manifest.services.iter();
    services
        .flat_map(|service| plan_service(state, manifest, service))
        .collect()
}

fn plan_service(state: &State, manifest: &Manifest, service: &Service) -> Vec<Shift> {
    let Some(owners) = state.owners.get(&service.name) else {
        return Vec::new();
    };
    let open: Vec<Group> = manifest
        .groups(service)
        .into_iter()
        .filter(|group| group.open_slots() > 0)
        .collect();
    let mut shares = shares(&open, owners);
    let mut given = surplus(owners, &shares);
    let mut shifts = Vec::new();
    for share in &mut shares {
        while share.missing() > 0 {
            let Some(source) = given.last_mut() else {
                return shifts;
            };
            let count = share.missing().min(source.shards.len());
            let mut shards = source.shards.split_off(source.shards.len() - count);
            shards.sort_unstable();
            share.held += count;
            shifts.push(Shift {
                service: service.name.clone(),
                from: source.from.clone(),
                to: share.group.clone(),
                shards,
            });
            if source.shards.is_empty() {
                given.pop();
            }
        }
    }
    shifts
}

/// What a group has and should have.
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

/// Shards that a group gives away.
struct Surplus {
    from: GroupId,
    shards: Vec<ShardIndex>,
}

/// Each open group's share of the shards, whole numbers that sum up to all of them.
///
/// Groups keep what they hold where that is within the tolerance; the rest is divided by slots.
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
    let is_near = |share: &Share| {
        let slack = (share.target as u64 * TOLERANCE_PERCENT).div_ceil(100);
        share.held.abs_diff(share.target) as u64 <= slack
    };
    if shares.iter().all(is_near) {
        let homeless = owners.len() as usize - shares.iter().map(|share| share.held).sum::<usize>();
        keep_held(&mut shares, homeless);
    }
    shares
}

/// Lets groups keep what they hold; shards without an open group fill up those with too few.
fn keep_held(shares: &mut [Share], homeless: usize) {
    let mut left = homeless;
    for share in shares.iter_mut() {
        let more = share.missing().min(left);
        left -= more;
        share.target = share.held + more;
    }
}

/// Divides shards by open slots; the largest remainders get those that are left.
fn apportion(open: &[Group], shards: usize) -> Vec<usize> {
    let slots: u64 = open.iter().map(Group::open_slots).sum();
    let product = |group: &Group| shards as u64 * group.open_slots();
    let mut targets: Vec<usize> = open
        .iter()
        .map(|group| (product(group) / slots) as usize)
        .collect();
    let mut by_remainder: Vec<usize> = (0..open.len()).collect();
    by_remainder.sort_by_key(|place| std::cmp::Reverse(product(&open[*place]) % slots));
    let left = shards - targets.iter().sum::<usize>();
    for place in by_remainder.into_iter().take(left) {
        targets[place] += 1;
    }
    targets
}

/// What groups give: all of those without an open upstream, and what others hold too much.
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

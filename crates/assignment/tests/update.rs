//! Daemons that receive only changes must have the same tables as the leader.

use copperwell_assignment::{
    table::{FULL_SHARE, RoutingTables, Table, Tables, Version},
    update::Update,
};
use copperwell_routing::{Key, UpstreamId};
use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};
use test_case::test_case;

const SERVICE: &str = "cups";

/// The assignment of keys, as the leader has it.
#[derive(Clone)]
struct Model {
    /// Ranges by their first key, in order; the first one starts at 0.
    ranges: Vec<(Key, Option<UpstreamId>)>,
    admits: Vec<(UpstreamId, u8)>,
}

impl Model {
    fn new(upstreams: usize, ranges: usize) -> Self {
        let id = |number| UpstreamId::from(format!("i-{number:010}"));
        let ids: Vec<_> = (0..upstreams).map(id).collect();
        let width = (usize::from(Key::MAX) + 1) / ranges;
        let range = |number: usize| {
            let first = Key::try_from(number * width).unwrap();
            (first, Some(ids[number % upstreams].clone()))
        };
        Self {
            ranges: (0..ranges).map(range).collect(),
            admits: ids.into_iter().map(|id| (id, FULL_SHARE)).collect(),
        }
    }

    /// Splits, moves and frees ranges, and changes admitted shares.
    fn change_at_random(&mut self, random: &mut impl Rng) {
        for _ in 0..random.random_range(0..4) {
            let max_key = if random.random_bool(0.5) {
                2_000
            } else {
                Key::MAX
            };
            let split = random.random_range(1..=max_key);
            let at = self.ranges.partition_point(|(first, _)| *first <= split);
            if self.ranges[at - 1].0 < split {
                let holder = self.ranges[at - 1].1.clone();
                self.ranges.insert(at, (split, holder));
            }
        }
        for _ in 0..random.random_range(0..6) {
            let at = random.random_range(0..self.ranges.len());
            let other = random.random_range(0..self.admits.len());
            let holder = random
                .random_bool(0.7)
                .then(|| self.admits[other].0.clone());
            self.ranges[at].1 = holder;
        }
        let at = random.random_range(0..self.admits.len());
        self.admits[at].1 = random.random_range(1..=FULL_SHARE);
    }

    fn tables(&self, term: u64, number: u64) -> Tables {
        let ranges = self.ranges.iter();
        let table = Table::new(ranges.map(|(first, holder)| (*first, holder.as_ref())));
        let admits = |id: &UpstreamId| self.admits.iter().find(|(own, _)| own == id).unwrap().1;
        let table = table.with_admits(admits);
        Tables {
            version: Version { term, number },
            services: [(SERVICE.into(), table)].into_iter().collect(),
        }
    }
}

/// Compares each key of one part of the key space, and a sample of the others.
fn assert_same(one: &RoutingTables, other: &RoutingTables) {
    assert_eq!(one.version(), other.version());
    for key in (0..2_000).chain((2_000..=Key::MAX).step_by(37)) {
        let served = one.served(SERVICE, key);
        assert_eq!(served, other.served(SERVICE, key), "key {key}");
    }
}

/// Fetches an update from the leader, applies it and returns it.
fn fetch_update(follower: &RoutingTables, leader: &RoutingTables) -> Option<Update> {
    let update = leader.update(follower.version(), follower.base())?;
    let bytes = bincode::serialize(&update).unwrap();
    assert!(follower.apply(bincode::deserialize(&bytes).unwrap()));
    Some(update)
}

#[test_case(1, 1; "one upstream")]
#[test_case(5, 12; "few upstreams")]
#[test_case(60, 90; "many upstreams")]
fn a_follower_has_the_tables_of_the_leader(upstreams: usize, ranges: usize) {
    for seed in 0..6 {
        let mut random = SmallRng::seed_from_u64(seed);
        let (leader, follower) = (RoutingTables::default(), RoutingTables::default());
        let mut model = Model::new(upstreams, ranges);
        for number in 1..40 {
            model.change_at_random(&mut random);
            leader.publish(model.tables(1, number));
            if random.random_bool(0.4) {
                let is_first = follower.base().is_none();
                let update = fetch_update(&follower, &leader);
                assert_eq!(matches!(update, Some(Update::Whole(_))), is_first);
                assert_same(&follower, &leader);
            }
        }
        fetch_update(&follower, &leader);
        assert_same(&follower, &leader);
        assert!(fetch_update(&follower, &leader).is_none());
    }
}

/// A follower that is too far behind or follows another leader receives the whole tables.
#[test_case(|leader, model| { for number in 2..200 { leader.publish(model.tables(1, number)); } }; "far behind")]
#[test_case(|leader, model| leader.publish(model.tables(9, 1)); "another leader")]
fn a_follower_receives_the_whole_tables(change: fn(&RoutingTables, &Model)) {
    let (leader, follower) = (RoutingTables::default(), RoutingTables::default());
    let model = Model::new(5, 12);
    leader.publish(model.tables(1, 1));
    fetch_update(&follower, &leader);
    change(&leader, &model);
    assert!(matches!(
        fetch_update(&follower, &leader),
        Some(Update::Whole(_))
    ));
    assert_same(&follower, &leader);
}

/// The first tables of a service have no ranges, since no key is assigned yet.
#[test]
fn the_first_tables_are_empty() {
    let (leader, follower) = (RoutingTables::default(), RoutingTables::default());
    let model = Model::new(5, 12);
    let mut empty = model.clone();
    empty.ranges.clear();
    leader.publish(empty.tables(1, 1));
    fetch_update(&follower, &leader);
    let mut some = model.clone();
    some.ranges[0].1 = None;
    some.ranges[6].1 = None;
    for (number, next) in [(2, some), (3, model), (4, empty)] {
        leader.publish(next.tables(1, number));
        let update = fetch_update(&follower, &leader);
        assert!(matches!(update, Some(Update::Steps(_))), "{update:?}");
        assert_same(&follower, &leader);
    }
}

#[test]
fn tables_made_from_a_plan_are_no_base_for_changes() {
    let (leader, follower) = (RoutingTables::default(), RoutingTables::default());
    let mut model = Model::new(5, 12);
    leader.publish(model.tables(1, 1));
    fetch_update(&follower, &leader);
    // The plan names holders to which the leader has not sent a grant yet.
    let mut plan = model.clone();
    plan.ranges[3].1 = Some(plan.admits[0].0.clone());
    leader.publish(model.tables(1, 2));
    assert!(follower.adopt_plans(plan.tables(1, 2)));
    assert_eq!(follower.base(), None);
    model.ranges[5].1 = None;
    leader.publish(model.tables(1, 3));
    assert!(matches!(
        fetch_update(&follower, &leader),
        Some(Update::Whole(_))
    ));
    assert_same(&follower, &leader);
}

/// In a large service, the size of an update depends on what changed, not on the size of the
/// service.
#[test]
fn an_update_is_small() {
    let (leader, follower) = (RoutingTables::default(), RoutingTables::default());
    let mut model = Model::new(200, 260);
    leader.publish(model.tables(1, 1));
    let whole = fetch_update(&follower, &leader).unwrap();
    model.ranges[7].1 = None;
    leader.publish(model.tables(1, 2));
    let step = fetch_update(&follower, &leader).unwrap();
    let size = |update| bincode::serialized_size(update).unwrap();
    assert!(
        size(&step) * 20 < size(&whole),
        "{} of {}",
        size(&step),
        size(&whole)
    );
}

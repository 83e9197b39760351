//! The data from the store that one daemon passes on to others.

use std::{sync::Arc, time::Duration};

use copperwell_assignment::{
    store_state::{Delta, ListVersion, StoreState, UpstreamList},
    transfer::decode,
};
use copperwell_routing::{
    configuration::{Configuration, Limits, Part, Route},
    registry::{Registry, Upstream},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use test_case::test_case;
use tokio::time::Instant;

fn configuration(version: u64, routes: usize) -> Arc<Configuration> {
    let limits = Limits {
        head_bytes: 16 << 10,
        body_bytes: 1 << 20,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    let route = |number| {
        let part = Part {
            service: "cups".into(),
            weight: 1,
        };
        Route::new(
            format!("r{number}"),
            "a.example",
            format!("/p{number}/"),
            [part],
        )
    };
    Arc::new(Configuration::new(
        version,
        limits,
        [],
        (0..routes).map(route),
    ))
}

/// Returns the update for a daemon that has configuration version `has`.
fn received(state: &StoreState, has: u64) -> Delta {
    let delta = state.delta_for(has, ListVersion::default()).unwrap();
    bincode::deserialize(&bincode::serialize(&delta).unwrap()).unwrap()
}

#[test_case(4, 10, Some(7); "an older version")]
#[test_case(7, 10, None; "the same version")]
#[test_case(4, 4_000, None; "an older version, and the newer one is large")]
#[test_case(6, 4_000, Some(7); "the version before, and few routes of many are new")]
fn a_configuration_is_passed_on(has: u64, routes: usize, expected: Option<u64>) {
    let state = StoreState::new(1);
    state.set_upstreams(Vec::new(), Instant::now());
    let before = configuration(6, routes - 5);
    state.set_configuration(&before);
    state.set_configuration(&configuration(7, routes));
    let delta = received(&state, has);
    assert_eq!(delta.configuration, 7);
    let difference = delta.difference.map(|encoded| decode(&encoded).unwrap());
    assert_eq!(
        difference.as_ref().map(|difference| difference.to),
        expected
    );
    if let Some(difference) = difference {
        let later = difference.apply(Some(&before)).unwrap();
        for number in 0..routes {
            let route = later.route("a.example", &format!("/p{number}/x"));
            assert_eq!(route.unwrap().name, format!("r{number}"));
        }
    }
}

/// A daemon of which nothing is known asks for the whole, one with the version before for the difference.
#[test_case(4; "the whole")]
#[test_case(6; "the difference from the version before")]
fn a_long_difference_arrives_in_chunks(has: u64) {
    let state = StoreState::new(1);
    let before = configuration(6, 2_000);
    state.set_configuration(&before);
    state.set_configuration(&configuration(7, 20_000));
    // The version that was offered stays readable while a newer one is in force.
    state.set_configuration(&configuration(8, 20_001));
    let mut encoded = Vec::new();
    let mut chunks = 0;
    loop {
        let chunk = state.chunk(has, 7, encoded.len()).unwrap();
        assert!(!chunk.bytes.is_empty());
        encoded.extend(chunk.bytes);
        chunks += 1;
        if encoded.len() == chunk.length {
            break;
        }
    }
    assert!(chunks > 1, "{} bytes", encoded.len());
    let later = decode(&encoded).unwrap().apply(Some(&before)).unwrap();
    assert_eq!(later.version, 7);
    for number in 0..20_000 {
        let route = later.route("a.example", &format!("/p{number}/x"));
        assert_eq!(route.unwrap().name, format!("r{number}"));
    }
    assert_eq!(state.chunk(has, 9, 0), None);
    assert_eq!(state.chunk(has, 7, encoded.len() + 1), None);
}

fn upstream(number: usize, slots: u32) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: format!("u{number}").into(),
        born: 1,
        service: "cups".into(),
        address: ([127, 0, 0, 1], 9).into(),
        zone: "here".into(),
        slots,
        is_draining: false,
        warmup: Duration::ZERO,
    })
}

/// A daemon that receives the updates of another one.
struct Follower {
    registry: Registry,
    list: ListVersion,
}

impl Follower {
    fn new() -> Self {
        Self {
            registry: Registry::default(),
            list: ListVersion::default(),
        }
    }

    /// Applies an update; returns whether it contained the whole list.
    fn receive(&mut self, state: &StoreState) -> Option<bool> {
        let delta = state.delta_for(0, self.list).unwrap();
        let now = Instant::now();
        let had = std::mem::replace(&mut self.list, delta.list);
        match delta.upstreams? {
            UpstreamList::Whole(all) => {
                self.registry.replace(all, now);
                Some(true)
            }
            UpstreamList::Changed {
                from,
                changed,
                gone,
            } => {
                assert_eq!(from, had);
                self.registry.apply_changes(changed, gone, now);
                Some(false)
            }
        }
    }

    fn assert_has(&self, list: &[Arc<Upstream>]) {
        let mut all: Vec<_> = self.registry.all().cloned().collect();
        all.sort_by(|one, other| one.id.cmp(&other.id));
        let mut list = list.to_vec();
        list.sort_by(|one, other| one.id.cmp(&other.id));
        assert_eq!(all, list);
    }
}

/// A daemon that applies changes must have the same list, however many versions it skipped.
#[test]
fn a_follower_has_the_whole_list() {
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let state = StoreState::new(3);
        let mut follower = Follower::new();
        let mut list: Vec<Arc<Upstream>> = (0..30).map(|number| upstream(number, 2)).collect();
        state.set_upstreams(list.clone(), Instant::now());
        assert_eq!(follower.receive(&state), Some(true));
        for step in 0..300 {
            let at = random.random_range(0..list.len());
            match random.random_range(0..3) {
                0 => list.push(upstream(100 + step, 2)),
                1 if list.len() > 1 => drop(list.swap_remove(at)),
                _ => list[at] = upstream(at, random.random_range(1..9)),
            }
            list.sort_by(|one, other| one.id.cmp(&other.id));
            list.dedup_by(|one, other| one.id == other.id);
            state.set_upstreams(list.clone(), Instant::now());
            if random.random_bool(0.3) {
                assert_ne!(follower.receive(&state), Some(true));
                follower.assert_has(&list);
            }
        }
        follower.receive(&state);
        follower.assert_has(&list);
        assert_eq!(follower.receive(&state), None);
    }
}

/// A daemon that has followed the leader leads next, and the others have different lists of the earlier leader.
#[test]
fn a_change_of_leader_makes_followers_receive_the_whole_list() {
    let follow = |state: &StoreState, leader: &StoreState| {
        let delta = leader.delta_for(0, state.list_version()).unwrap();
        if let Some(list) = delta.upstreams {
            state.follow_list(delta.list, &list);
        }
    };
    let first = StoreState::new(3);
    let second = StoreState::new(4);
    let mut follower = Follower::new();
    let list: Vec<_> = (0..30).map(|number| upstream(number, 2)).collect();
    first.set_upstreams(list.clone(), Instant::now());
    follow(&second, &first);
    assert_eq!(follower.receive(&first), Some(true));
    first.set_upstreams(list[1..].to_vec(), Instant::now());
    follow(&second, &first);
    // The second one finds the list of the first one in the store.
    second.set_upstreams(list[1..].to_vec(), Instant::now());
    assert_eq!(follower.receive(&second), Some(false));
    follower.assert_has(&list[1..]);
    second.set_upstreams(list[2..].to_vec(), Instant::now());
    assert_eq!(follower.receive(&second), Some(false));
    follower.assert_has(&list[2..]);
    assert_eq!(follower.receive(&second), None);
}

/// The lead goes from one daemon to another, some of which have missed lists or read the store themselves.
#[test]
fn followers_have_the_list_of_whoever_leads() {
    let (mut wholes, mut received) = (0, 0);
    for seed in 0..40 {
        let mut random = SmallRng::seed_from_u64(seed);
        let daemons: Vec<StoreState> = (3..7).map(StoreState::new).collect();
        let mut followers: Vec<Follower> = (0..4).map(|_| Follower::new()).collect();
        let mut list: Vec<Arc<Upstream>> = (0..30).map(|number| upstream(number, 2)).collect();
        let mut leader = 0;
        daemons[leader].set_upstreams(list.clone(), Instant::now());
        for step in 0..400 {
            let at = random.random_range(0..list.len());
            match random.random_range(0..3) {
                0 => list.push(upstream(100 + step, 2)),
                1 if list.len() > 1 => drop(list.swap_remove(at)),
                _ => list[at] = upstream(at, random.random_range(1..9)),
            }
            list.sort_by(|one, other| one.id.cmp(&other.id));
            list.dedup_by(|one, other| one.id == other.id);
            if random.random_bool(0.05) {
                leader = random.random_range(0..daemons.len());
            }
            daemons[leader].set_upstreams(list.clone(), Instant::now());
            if random.random_bool(0.02) {
                let other = random.random_range(0..daemons.len());
                daemons[other].set_upstreams(list.clone(), Instant::now());
            }
            for (number, daemon) in daemons.iter().enumerate() {
                if number != leader && random.random_bool(0.7) {
                    let known = daemon.list_version();
                    let delta = daemons[leader].delta_for(0, known).unwrap();
                    if let Some(list) = delta.upstreams {
                        daemon.follow_list(delta.list, &list);
                    }
                }
            }
            for follower in &mut followers {
                if random.random_bool(0.5) {
                    let is_whole = follower.receive(&daemons[leader]);
                    received += 1;
                    wholes += usize::from(is_whole == Some(true));
                    follower.assert_has(&list);
                }
            }
        }
    }
    assert!(wholes * 5 < received, "{wholes} of {received}");
}

/// A daemon receives the whole list if its own is from another run or too old.
#[test]
fn a_follower_that_is_far_behind_receives_the_whole_list() {
    let state = StoreState::new(3);
    let mut follower = Follower::new();
    state.set_upstreams([upstream(0, 2)], Instant::now());
    follower.receive(&state);
    for number in 1..3_000 {
        state.set_upstreams([upstream(number, 2)], Instant::now());
    }
    assert_eq!(follower.receive(&state), Some(true));
    follower.assert_has(&[upstream(2_999, 2)]);
    let other = StoreState::new(4);
    other.set_upstreams([upstream(0, 2)], Instant::now());
    other.set_upstreams([upstream(1, 2)], Instant::now());
    assert_eq!(follower.receive(&other), Some(true));
    follower.assert_has(&[upstream(1, 2)]);
}

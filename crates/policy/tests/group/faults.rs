//! Leaders and servers of one group under random faults: no shard may have two owners.
//!
//! A fixed seed gives the same run. Time is counted, not waited for.

use std::time::Duration;

use crate::world::{Plan, World};
use test_case::test_case;

/// Runs for each kind of group and fault.
const SEEDS: u64 = 200;

#[test_case(2, 2; "two servers")]
#[test_case(3, 2; "three servers")]
#[test_case(6, 3; "six servers and three leaders")]
#[test_case(1, 2; "one server")]
fn faults_never_make_two_owners(servers: usize, leaders: usize) {
    for seed in 0..SEEDS {
        let plan = Plan {
            servers,
            leaders,
            shards: 16,
            faults: Duration::from_secs(20),
        };
        let mut world = World::new(seed, &plan);
        world.run();
        world.check_no_overlap();
        world.check_all_served();
    }
}

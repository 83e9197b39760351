//! Leaders and servers of one group under random faults: no shard may have two owners.
//!
//! A fixed seed gives the same run. Time is counted, not waited for.

use std::time::Duration;

use crate::world::{Plan, World};
use copperwell_keyspace::manifest::Fencing;
use test_case::test_case;

/// Runs for each kind of group and fault.
const SEEDS: u64 = 200;

#[test_case(2, 2, Fencing::Checked, false; "two servers")]
#[test_case(3, 2, Fencing::Checked, false; "three servers")]
#[test_case(6, 3, Fencing::Checked, false; "six servers and three leaders")]
#[test_case(1, 2, Fencing::Checked, false; "one server")]
#[test_case(2, 2, Fencing::Checked, true; "two servers of which one comes and goes")]
#[test_case(3, 2, Fencing::Checked, true; "three servers of which one comes and goes")]
#[test_case(3, 2, Fencing::Unchecked, false; "three servers that do not check")]
fn faults_never_make_two_owners(servers: usize, leaders: usize, fencing: Fencing, changes: bool) {
    for seed in 0..SEEDS {
        let plan = Plan {
            servers,
            leaders,
            fencing,
            changes,
            shards: 16,
            faults: Duration::from_secs(20),
        };
        let mut world = World::new(seed, &plan);
        world.run();
        world.check_no_overlap();
        world.check_all_served();
    }
}

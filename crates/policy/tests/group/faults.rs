//! Leaders and servers of one group under random faults: no shard may have two owners.
//!
//! A seed determines the run. Time is simulated.

use std::time::Duration;

use crate::simulation::{Plan, Simulation};
use copperwell_keyspace::manifest::Fencing;
use test_case::test_case;

/// Runs of each test case.
const SEEDS: u64 = 200;

#[test_case(2, 2, Fencing::Checked, false; "two servers")]
#[test_case(3, 2, Fencing::Checked, false; "three servers")]
#[test_case(6, 3, Fencing::Checked, false; "six servers and three leaders")]
#[test_case(1, 2, Fencing::Checked, false; "one server")]
#[test_case(2, 2, Fencing::Checked, true; "two servers of which one is removed and added")]
#[test_case(3, 2, Fencing::Checked, true; "three servers of which one is removed and added")]
#[test_case(3, 2, Fencing::Unchecked, false; "three servers that do not check epochs")]
fn faults_never_yield_two_owners(
    servers: usize,
    leaders: usize,
    fencing: Fencing,
    has_membership_changes: bool,
) {
    for seed in 0..SEEDS {
        let plan = Plan {
            servers,
            leaders,
            fencing,
            has_membership_changes,
            shards: 16,
            faults: Duration::from_secs(20),
        };
        let mut simulation = Simulation::new(seed, &plan);
        simulation.run();
        simulation.check_no_overlap();
        simulation.check_all_served();
    }
}

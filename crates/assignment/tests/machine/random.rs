//! Random faults, one seed per case.

use std::time::Duration;

use crate::simulation::Simulation;
use rand::RngExt;
use test_case::test_case;

const SERVERS: usize = 6;

/// The number of faults in one case.
const FAULTS: usize = 60;

/// How long after the last fault all keys must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(40);

/// What happens beside the faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Further {
    Nothing,
    /// Nothing, but the seeds lead to other faults.
    Draws,
    /// The store comes back from copies.
    Losses,
}

/// Injects random faults; the simulation checks after each step that no key has two holders.
fn run(seed: u64, unanswered: f64, read_late: f64, further: Further) {
    let mut simulation = Simulation::new(SERVERS, seed);
    simulation.run(Duration::from_secs(5));
    simulation.unanswered = unanswered;
    simulation.read_late = read_late;
    let mut copy = None;
    for _ in 0..FAULTS {
        inject_fault(&mut simulation);
        if further == Further::Nothing {
            let pause = simulation.random().random_range(20..1_500);
            simulation.run(Duration::from_millis(pause));
            continue;
        }
        match simulation.random().random_range(0..30) {
            0 | 1 => copy = simulation.stored.clone(),
            2 if further == Further::Losses => simulation.change_leader_after_loss(copy.clone()),
            _ => {}
        }
        let pause = simulation.random().random_range(20..1_500);
        simulation.run(Duration::from_millis(pause));
    }
    simulation.unanswered = 0.0;
    simulation.read_late = 0.0;
    simulation.is_store_unreachable = false;
    for server in &mut simulation.servers {
        server.is_reachable = true;
        if !server.is_up {
            server.restart();
        }
        server.is_listed = true;
    }
    simulation.run(RECOVERY_TIME);
    let all = crate::simulation::sample().count();
    assert_eq!(simulation.served(), all);
}

fn inject_fault(simulation: &mut Simulation) {
    let number = simulation.random().random_range(0..SERVERS);
    let fault = simulation.random().random_range(0..10);
    let server = &mut simulation.servers[number];
    match fault {
        0 => server.crash(),
        1 if !server.is_up => server.restart(),
        2 => server.is_listed = !server.is_listed,
        3 | 4 => server.is_reachable = !server.is_reachable,
        5 => simulation.is_store_unreachable = !simulation.is_store_unreachable,
        6 => simulation.change_leader(),
        7 => simulation.change_leader_with_known_grants_end(),
        8 => {
            let share = simulation.random().random_range(0.0..0.6);
            simulation.unanswered = share;
        }
        _ => {}
    }
}

#[test_case(0.0, 0.0; "all answered")]
#[test_case(0.3, 0.0; "three in ten unanswered")]
#[test_case(0.6, 0.0; "most unanswered")]
#[test_case(0.0, 0.3; "three in ten read late")]
#[test_case(0.2, 0.3; "some unanswered and some read late")]
fn no_key_has_two_holders(unanswered: f64, read_late: f64) {
    for seed in 0..15 {
        run(seed, unanswered, read_late, Further::Nothing);
    }
}

#[test_case(0.0, 0.0; "all answered")]
#[test_case(0.2, 0.3; "some unanswered and some read late")]
fn keys_have_two_holders_after_the_store_comes_back(unanswered: f64, read_late: f64) {
    for seed in 100..110 {
        run(seed, unanswered, read_late, Further::Losses);
    }
}

#[test]
fn key_has_two_holders_after_faults_of_seed_9() {
    run(9, 0.0, 0.0, Further::Draws);
}

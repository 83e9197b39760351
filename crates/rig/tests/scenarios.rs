//! Tests of the scenario files that ship with the experiment tool, and of the load from a seed.

use std::{fs, path::Path, time::Duration};

use copperwell_rig::{scenario::Scenario, schedule};

fn load_all() -> Vec<Scenario> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../standin/scenarios");
    let files = fs::read_dir(directory)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    files.map(|path| Scenario::load(&path).unwrap()).collect()
}

#[test]
fn every_file_loads_and_names_services_of_its_user() {
    let scenarios = load_all();
    assert!(scenarios.len() >= 8);
    for scenario in scenarios {
        let manifest = scenario.user.manifest().unwrap();
        for load in &scenario.load {
            assert!(
                manifest.service(&load.service).is_some(),
                "{}: {}",
                scenario.name,
                load.service
            );
        }
    }
}

#[test]
fn same_seed_gives_the_same_load() {
    let mut scenario = load_all()
        .into_iter()
        .find(|scenario| scenario.name == "hot-keys-move")
        .unwrap();
    scenario.duration = Duration::from_secs(6);
    let offers = schedule::offers(&scenario, 7);
    assert_eq!(offers, schedule::offers(&scenario, 7));
    assert_ne!(offers, schedule::offers(&scenario, 8));
    assert!(offers.windows(2).all(|pair| pair[0].at <= pair[1].at));
}

//! The page on the gateway names every log event of the code, and no other.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// All events that source files below `folder` log.
fn collect(folder: &Path, events: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect(&path, events);
            continue;
        }
        let text = fs::read_to_string(&path).unwrap();
        for rest in text.split("event = \"").skip(1) {
            events.insert(rest.split('"').next().unwrap().to_owned());
        }
    }
}

#[test]
fn every_event_has_a_row() {
    let mut logged = BTreeSet::from(["log-dropped".to_owned()]);
    for package in ["routing", "assignment", "gateway"] {
        collect(
            &root().join("crates").join(package).join("src"),
            &mut logged,
        );
    }
    let daemon = ["gateway.rs", "reload.rs"].map(|file| {
        let path = root().join("crates/copperwelld/src").join(file);
        fs::read_to_string(path).unwrap()
    });
    let daemon = daemon.concat();
    for rest in daemon.split("event = \"").skip(1) {
        logged.insert(rest.split('"').next().unwrap().to_owned());
    }
    let page = fs::read_to_string(root().join("docs/GATEWAY.md")).unwrap();
    let rows = page
        .lines()
        .skip_while(|line| !line.starts_with("| `event` |"));
    let rows = rows.skip(2).take_while(|line| line.starts_with('|'));
    let names = rows.flat_map(|row| {
        let cell = row.split('|').nth(1).unwrap();
        cell.split(',')
            .map(|name| name.trim().trim_matches('`').to_owned())
    });
    let named: BTreeSet<String> = names.collect();
    assert_eq!(named, logged);
}

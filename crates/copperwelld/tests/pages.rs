//! The page on the gateway lists exactly the log events of the code.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Collects the events that the source files below `folder` log.
fn collect_events(folder: &Path, events: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_events(&path, events);
            continue;
        }
        let text = fs::read_to_string(&path).unwrap();
        for suffix in text.split("event = \"").skip(1) {
            events.insert(suffix.split('"').next().unwrap().to_owned());
        }
    }
}

#[test]
fn page_lists_every_event() {
    let mut logged = BTreeSet::from(["log-dropped".to_owned()]);
    for package in ["routing", "assignment", "gateway"] {
        collect_events(
            &root().join("crates").join(package).join("src"),
            &mut logged,
        );
    }
    let daemon_source = ["gateway.rs", "reload.rs"].map(|file| {
        let path = root().join("crates/copperwelld/src").join(file);
        fs::read_to_string(path).unwrap()
    });
    let daemon_source = daemon_source.concat();
    for suffix in daemon_source.split("event = \"").skip(1) {
        logged.insert(suffix.split('"').next().unwrap().to_owned());
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
    let documented: BTreeSet<String> = names.collect();
    assert_eq!(documented, logged);
}

//! The page on configuration says what the types say.

use std::{collections::BTreeSet, fs, path::PathBuf};

use copperwell_keyspace::manifest::Manifest;
use copperwelld::settings::Settings;
use serde_json::{Map, Value, json};
use test_case::test_case;

/// A file of configuration as the page and the types know it.
struct Subject {
    section: &'static str,
    /// A document with a value for every field.
    full: Value,
    /// Reads a document without checks and writes it again, with its defaults.
    fill: fn(Value) -> Option<Value>,
    /// Whether a check finds fault with the field at this path.
    refuses: fn(&Value, &str) -> bool,
}

/// A field as the page has it.
struct Row {
    path: String,
    default: String,
    bounds: String,
}

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn example(name: &str) -> PathBuf {
    root().join("examples").join(name)
}

fn settings() -> Subject {
    let full = Settings::load(&example("abraziv/settings.yaml")).unwrap();
    Subject {
        section: "Settings",
        full: serde_json::to_value(full).unwrap(),
        fill: |value| {
            let read: Settings = serde_json::from_value(value).ok()?;
            serde_json::to_value(read).ok()
        },
        refuses: |value, _| Settings::parse(&value.to_string()).is_err(),
    }
}

fn manifest() -> Subject {
    let text = fs::read_to_string(example("abraziv/manifest.yaml")).unwrap();
    let full = Manifest::from_yaml(&text).unwrap();
    Subject {
        section: "Manifest",
        full: serde_json::to_value(full).unwrap(),
        fill: |value| {
            let read: Manifest = serde_json::from_value(value).ok()?;
            serde_json::to_value(read).ok()
        },
        refuses: |value, path| {
            let path = path.replace("[]", "[0]");
            let Ok(read) = Manifest::from_yaml(&value.to_string()) else {
                return true;
            };
            let report = read.check().err();
            report.is_some_and(|report| {
                let faults = &report.current_context().faults;
                faults.iter().any(|fault| fault.field == path)
            })
        },
    }
}

/// The rows of a section of the page.
fn rows(section: &str) -> Vec<Row> {
    let page = fs::read_to_string(root().join("docs/CONFIGURATION.md")).unwrap();
    let heading = format!("## {section}");
    let lines = page.lines().skip_while(|line| *line != heading).skip(1);
    let lines = lines.take_while(|line| !line.starts_with("## "));
    lines
        .filter(|line| line.starts_with("| `"))
        .map(|line| {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            assert_eq!(cells.len(), 7, "five cells in {line}");
            Row {
                path: cells[1].trim_matches('`').to_owned(),
                default: cells[3].to_owned(),
                bounds: cells[4].to_owned(),
            }
        })
        .collect()
}

/// Every field of a document; `[]` stands for the elements of a list.
fn fields(value: &Value, at: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(held) => {
            for (name, inner) in held {
                let path = if at.is_empty() {
                    name.clone()
                } else {
                    format!("{at}.{name}")
                };
                fields(inner, &path, found);
                found.insert(path);
            }
        }
        Value::Array(elements) => {
            for element in elements {
                fields(element, &format!("{at}[]"), found);
            }
        }
        _ => {}
    }
}

/// The field's name and what holds it, in the first element of each list.
fn holder<'a>(document: &'a mut Value, path: &str) -> (&'a mut Map<String, Value>, String) {
    let mut steps: Vec<&str> = path.split('.').collect();
    let name = steps.pop().unwrap().to_owned();
    let mut at = document;
    for step in steps {
        at = match step.strip_suffix("[]") {
            Some(list) => &mut at[list][0],
            None => &mut at[step],
        };
    }
    (at.as_object_mut().unwrap(), name)
}

fn with(document: &Value, path: &str, value: Value) -> Value {
    let mut changed = document.clone();
    let (held, name) = holder(&mut changed, path);
    held.insert(name, value);
    changed
}

fn without(document: &Value, path: &str) -> Value {
    let mut changed = document.clone();
    let (held, name) = holder(&mut changed, path);
    held.remove(&name).unwrap();
    changed
}

/// The default that the page states, as a value.
fn stated(default: &str) -> Value {
    match default {
        "none" => Value::Null,
        "as below" => json!({}),
        text => serde_norway::from_str(text).unwrap(),
    }
}

/// The ends of bounds, and the values just outside of them.
struct Bounds {
    inside: [Value; 2],
    outside: [Value; 2],
}

/// Reads bounds of the form `A to B`, or `above A to B`.
fn bounds(text: &str) -> Option<Bounds> {
    let (least, most) = text.split_once(" to ")?;
    if let Ok(most) = most.parse::<i64>() {
        let least: i64 = least.parse().ok()?;
        return Some(Bounds {
            inside: [json!(least), json!(most)],
            outside: [json!(least - 1), json!(most + 1)],
        });
    }
    if !most.starts_with(|first: char| first.is_ascii_digit()) {
        return None;
    }
    let (below, least) = match least.strip_prefix("above ") {
        Some(below) => (below.to_owned(), "1ms".to_owned()),
        None => {
            let millis: u64 = least.strip_suffix("ms")?.parse().ok()?;
            (format!("{}ms", millis - 1), least.to_owned())
        }
    };
    Some(Bounds {
        inside: [json!(least), json!(most)],
        outside: [json!(below), json!(format!("{most} 1ms"))],
    })
}

/// A document in which no bound of one field hides that of another.
fn lean(subject: &Subject) -> Value {
    let mut document = subject.full.clone();
    if let Some(services) = document.get_mut("services").and_then(Value::as_array_mut) {
        services.truncate(1);
        let upstreams = services[0]["upstreams"].as_array_mut().unwrap();
        upstreams.truncate(1);
        upstreams[0]["slots"] = json!(1);
        services[0]["limits"]["deadline"] = json!("1ms");
    }
    document
}

#[test_case(&settings())]
#[test_case(&manifest())]
fn the_page_names_every_field_and_no_other(subject: &Subject) {
    let mut found = BTreeSet::new();
    fields(&subject.full, "", &mut found);
    let rows = rows(subject.section);
    let named: BTreeSet<String> = rows.iter().map(|row| row.path.clone()).collect();
    assert_eq!(named.len(), rows.len(), "no field is named twice");
    assert_eq!(named, found);
}

#[test_case(&settings())]
#[test_case(&manifest())]
fn the_page_states_the_defaults(subject: &Subject) {
    for row in rows(subject.section) {
        let filled = (subject.fill)(without(&subject.full, &row.path));
        if row.default == "required" {
            assert_eq!(filled, None, "{} is not required", row.path);
            continue;
        }
        let expected = with(&subject.full, &row.path, stated(&row.default));
        let expected = (subject.fill)(expected);
        assert!(expected.is_some(), "{} has no such default", row.path);
        assert_eq!(filled, expected, "default of {}", row.path);
    }
}

#[test_case(&settings(), 4)]
#[test_case(&manifest(), 14)]
fn the_page_states_the_bounds(subject: &Subject, ranges: usize) {
    let document = lean(subject);
    let rows = rows(subject.section);
    let bounded = rows
        .iter()
        .filter_map(|row| Some((&row.path, bounds(&row.bounds)?)));
    let mut checked = 0;
    for (path, bounds) in bounded {
        for value in bounds.inside {
            let changed = with(&document, path, value.clone());
            assert!(!(subject.refuses)(&changed, path), "{path}: {value}");
        }
        for value in bounds.outside {
            let changed = with(&document, path, value.clone());
            assert!((subject.refuses)(&changed, path), "{path}: {value}");
        }
        checked += 1;
    }
    assert_eq!(checked, ranges);
}

#[test_case("abraziv")]
#[test_case("tazza")]
fn the_example_settings_are_full_and_fit_their_manifest(user: &str) {
    let path = example(user).join("settings.yaml");
    let loaded = Settings::load(&path).unwrap();
    let text = fs::read_to_string(path).unwrap();
    let mut given = BTreeSet::new();
    fields(&serde_norway::from_str(&text).unwrap(), "", &mut given);
    let named = rows("Settings").into_iter().map(|row| row.path);
    assert_eq!(given, named.collect());

    let text = fs::read_to_string(example(user).join("manifest.yaml")).unwrap();
    let manifest = Manifest::from_yaml(&text).unwrap();
    let mut declared = manifest.data_centres.iter();
    let place = declared.find(|place| place.name == loaded.data_centre);
    assert_eq!(place.unwrap().region, loaded.region);
}

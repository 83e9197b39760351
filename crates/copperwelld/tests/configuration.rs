//! The page on configuration agrees with the types.

use std::{collections::BTreeSet, fs, path::PathBuf};

use copperwell_keyspace::manifest::Manifest;
use copperwelld::settings::Settings;
use serde_json::{Map, Value, json};
use test_case::test_case;

/// A configuration file that the page documents and a type implements.
struct Subject {
    section: &'static str,
    /// A document with a value for every field.
    full: Value,
    /// Deserializes a document without validation and serializes it with its defaults.
    with_defaults: fn(Value) -> Option<Value>,
    /// Returns whether validation rejects the field at this path.
    rejects: fn(&Value, &str) -> bool,
}

/// A field as the page documents it.
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
        with_defaults: |value| {
            let parsed: Settings = serde_json::from_value(value).ok()?;
            serde_json::to_value(parsed).ok()
        },
        rejects: |value, _| Settings::parse(&value.to_string()).is_err(),
    }
}

fn manifest() -> Subject {
    let text = fs::read_to_string(example("abraziv/manifest.yaml")).unwrap();
    let full = Manifest::from_yaml(&text).unwrap();
    Subject {
        section: "Manifest",
        full: serde_json::to_value(full).unwrap(),
        with_defaults: |value| {
            let parsed: Manifest = serde_json::from_value(value).ok()?;
            serde_json::to_value(parsed).ok()
        },
        rejects: |value, path| {
            let path = path.replace("[]", "[0]");
            let Ok(parsed) = Manifest::from_yaml(&value.to_string()) else {
                return true;
            };
            let report = parsed.check().err();
            report.is_some_and(|report| {
                let errors = &report.current_context().faults;
                errors.iter().any(|error| error.field == path)
            })
        },
    }
}

/// Returns the rows of a section of the page.
fn rows(section: &str) -> Vec<Row> {
    let page = fs::read_to_string(root().join("docs/CONFIGURATION.md")).unwrap();
    let heading = format!("## {section}");
    let lines = page.lines().skip_while(|line| *line != heading).skip(1);
    let lines = lines.take_while(|line| !line.starts_with("## "));
    lines
        .filter(|line| line.starts_with("| `"))
        .map(|line| {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            assert_eq!(cells.len(), 7, "expected five cells in {line}");
            Row {
                path: cells[1].trim_matches('`').to_owned(),
                default: cells[3].to_owned(),
                bounds: cells[4].to_owned(),
            }
        })
        .collect()
}

/// Collects the paths of all fields of a document; `[]` stands for the elements of a list.
fn fields(value: &Value, prefix: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(object) => {
            for (name, inner) in object {
                let path = if prefix.is_empty() {
                    name.clone()
                } else {
                    format!("{prefix}.{name}")
                };
                fields(inner, &path, paths);
                paths.insert(path);
            }
        }
        Value::Array(elements) => {
            for element in elements {
                fields(element, &format!("{prefix}[]"), paths);
            }
        }
        _ => {}
    }
}

/// Returns the object that contains a field, and the field's name; lists are entered at their first
/// element.
fn parent_of<'a>(document: &'a mut Value, path: &str) -> (&'a mut Map<String, Value>, String) {
    let mut steps: Vec<&str> = path.split('.').collect();
    let name = steps.pop().unwrap().to_owned();
    let mut node = document;
    for step in steps {
        node = match step.strip_suffix("[]") {
            Some(list) => &mut node[list][0],
            None => &mut node[step],
        };
    }
    (node.as_object_mut().unwrap(), name)
}

fn with_field(document: &Value, path: &str, value: Value) -> Value {
    let mut changed = document.clone();
    let (object, name) = parent_of(&mut changed, path);
    object.insert(name, value);
    changed
}

fn without_field(document: &Value, path: &str) -> Value {
    let mut changed = document.clone();
    let (object, name) = parent_of(&mut changed, path);
    object.remove(&name).unwrap();
    changed
}

/// Parses a default as the page states it.
fn parse_default(default: &str) -> Value {
    match default {
        "none" => Value::Null,
        "as below" => json!({}),
        text => serde_norway::from_str(text).unwrap(),
    }
}

/// The limits of a range, and the values just outside of it.
struct Bounds {
    inside: [Value; 2],
    outside: [Value; 2],
}

/// Parses bounds of the form `A to B` or `above A to B`.
fn parse_bounds(text: &str) -> Option<Bounds> {
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
    let (below_least, least) = match least.strip_prefix("above ") {
        Some(below_least) => (below_least.to_owned(), "1ms".to_owned()),
        None => {
            let millis: u64 = least.strip_suffix("ms")?.parse().ok()?;
            (format!("{}ms", millis - 1), least.to_owned())
        }
    };
    Some(Bounds {
        inside: [json!(least), json!(most)],
        outside: [json!(below_least), json!(format!("{most} 1ms"))],
    })
}

/// Returns a document in which no bound of one field masks that of another.
fn minimal(subject: &Subject) -> Value {
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
    let mut paths = BTreeSet::new();
    fields(&subject.full, "", &mut paths);
    let rows = rows(subject.section);
    let named: BTreeSet<String> = rows.iter().map(|row| row.path.clone()).collect();
    assert_eq!(named.len(), rows.len(), "the page names a field twice");
    assert_eq!(named, paths);
}

#[test_case(&settings())]
#[test_case(&manifest())]
fn the_page_states_the_defaults(subject: &Subject) {
    for row in rows(subject.section) {
        let filled = (subject.with_defaults)(without_field(&subject.full, &row.path));
        if row.default == "required" {
            assert_eq!(filled, None, "{} is not required", row.path);
            continue;
        }
        let expected = with_field(&subject.full, &row.path, parse_default(&row.default));
        let expected = (subject.with_defaults)(expected);
        assert!(
            expected.is_some(),
            "the default of {} on the page is invalid",
            row.path
        );
        assert_eq!(filled, expected, "default of {}", row.path);
    }
}

#[test_case(&settings(), 4)]
#[test_case(&manifest(), 14)]
fn the_page_states_the_bounds(subject: &Subject, ranges: usize) {
    let document = minimal(subject);
    let rows = rows(subject.section);
    let bounded = rows
        .iter()
        .filter_map(|row| Some((&row.path, parse_bounds(&row.bounds)?)));
    let mut checked = 0;
    for (path, bounds) in bounded {
        for value in bounds.inside {
            let changed = with_field(&document, path, value.clone());
            assert!(!(subject.rejects)(&changed, path), "{path}: {value}");
        }
        for value in bounds.outside {
            let changed = with_field(&document, path, value.clone());
            assert!((subject.rejects)(&changed, path), "{path}: {value}");
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
    let mut example_fields = BTreeSet::new();
    fields(
        &serde_norway::from_str(&text).unwrap(),
        "",
        &mut example_fields,
    );
    let named = rows("Settings").into_iter().map(|row| row.path);
    assert_eq!(example_fields, named.collect());

    let text = fs::read_to_string(example(user).join("manifest.yaml")).unwrap();
    let manifest = Manifest::from_yaml(&text).unwrap();
    let mut declared = manifest.data_centres.iter();
    let data_centre = declared.find(|data_centre| data_centre.name == loaded.data_centre);
    assert_eq!(data_centre.unwrap().region, loaded.region);
}

//! Tests the check of a configuration as a process, against a stand-in for the platform's store.

#[path = "../../../platform/tests/standin/mod.rs"]
mod standin;

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Output, Stdio},
};

use serde_json::{Value, json};
use standin::{
    settings,
    store::{Faults, Store},
};
use test_case::test_case;
use tokio::process::Command;

/// A configuration without findings.
const VALID: &str = include_str!("../../../platform/tests/check/valid.json");

/// What makes it one with a warning.
const WARNING: (&str, &str) = ("\"weight\": 1 ", "\"weight\": 0 ");

/// What makes it one with an error.
const ERROR: (&str, &str) = ("\"service\": \"pay\"", "\"service\": \"bay\"");

/// What makes it a later version.
const LATER: (&str, &str) = ("\"r12\"", "\"r13\"");

fn changed(changes: &[(&str, &str)]) -> String {
    let mut text = VALID.to_owned();
    for (old, new) in changes {
        assert!(text.contains(old), "{old}");
        text = text.replacen(old, new, 1);
    }
    text
}

/// Writes a file to a directory of the test and returns its path.
fn write_file(test: &str, name: &str, content: impl AsRef<[u8]>) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join("gateway")
        .join(test);
    fs::create_dir_all(&directory).unwrap();
    let path = directory.join(name);
    fs::write(&path, content).unwrap();
    path
}

async fn check(path: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_copperwell"))
        .arg("check-gateway")
        .args(args)
        .arg(path)
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output()
        .await
        .unwrap()
}

fn code(output: &Output) -> Option<i32> {
    output.status.code()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn parse(output: &Output) -> Value {
    let text = stdout(output);
    assert_eq!(text.lines().count(), 1, "{text}");
    serde_json::from_str(&text).unwrap()
}

/// Guards against a configuration that scripts send though it has errors, and one that they hold back for a warning.
#[test_case("valid", &[], 0, "errors: 0, warnings: 0"; "valid")]
#[test_case("warning", &[WARNING], 0, "errors: 0, warnings: 1"; "warning")]
#[test_case("error", &[ERROR], 2, "errors: 1, warnings: 1"; "error")]
#[tokio::test]
async fn exit_code_is_wrong(name: &str, changes: &[(&str, &str)], expected: i32, summary: &str) {
    let path = write_file("exit", &format!("{name}.json"), changed(changes));
    let output = check(&path, &[]).await;
    assert_eq!(code(&output), Some(expected), "{}", stderr(&output));
    let text = stdout(&output);
    let last = text.lines().last();
    assert_eq!(last, Some(&*format!("{}: {summary}", path.display())));
    assert_eq!(stderr(&output), "");
}

/// Guards against a finding without its file, line, severity, code and place.
#[tokio::test]
async fn text_does_not_say_where_the_fault_is() {
    let path = write_file("text", "error.json", changed(&[ERROR]));
    let output = check(&path, &[]).await;
    let text = stdout(&output);
    let expected = format!(
        "{}:57: error[unknown-service] listeners[1].rules[0].action.service: no cluster defines the service `bay`",
        path.display()
    );
    assert!(text.starts_with(&expected), "{text}");
}

/// Guards against JSON whose fields change.
#[tokio::test]
async fn json_changes_its_form() {
    let changes = [WARNING, LATER, ("\"grants\": \"direct\",", "")];
    let new = write_file("json", "new.json", changed(&changes));
    let old = write_file("json", "old.json", VALID);
    let output = check(&new, &["--json"]).await;
    assert_eq!(code(&output), Some(0), "{}", stderr(&output));
    let alone = parse(&output);
    assert_eq!(
        alone,
        json!({
            "findings": [{
                "severity": "warning",
                "code": "no-backend",
                "line": 32,
                "path": "listeners[0].rules[1].action.backends[1].weight",
                "reason": "the backend `cups` gets no requests: its weight is 0",
                "remedy": "remove the backend, or set a weight above 0"
            }],
            "differences": null,
            "base": null
        })
    );
    let output = check(&new, &["--json", "--against", &old.to_string_lossy()]).await;
    let compared = parse(&output);
    assert_eq!(compared["findings"], alone["findings"]);
    assert_eq!(
        compared["base"],
        json!({"state": "readable", "version": 12})
    );
    let cups = |weight: u32| json!({"service": "cups", "weight": weight});
    let files = json!({"service": "files", "weight": 9});
    assert_eq!(
        compared["differences"],
        json!([
            {
                "kind": "rule",
                "name": "r-files",
                "change": "changed",
                "fields": [{
                    "field": "action.backends",
                    "old": [files, cups(1)],
                    "new": [files, cups(0)]
                }],
                "affects_keys": true
            },
            {
                "kind": "cluster",
                "name": "cups",
                "change": "changed",
                "fields": [{"field": "grants", "old": "direct", "new": null}],
                "affects_keys": false
            }
        ])
    );
}

/// Guards against a document that daemons keep out and the command lets through.
#[tokio::test]
async fn unreadable_document_is_let_through() {
    let path = write_file("unreadable", "cut.json", &VALID[..VALID.len() / 2]);
    let old = write_file("unreadable", "old.json", VALID);
    let output = check(&path, &["--json", "--against", &old.to_string_lossy()]).await;
    assert_eq!(code(&output), Some(2));
    let found = parse(&output);
    assert_eq!(found["findings"][0]["code"], "unreadable-document");
    assert_eq!(found["differences"], Value::Null);
}

/// Guards against a file that cannot be read and is not named.
#[test_case(None, "No such file"; "missing")]
#[test_case(Some(b"{\"version\": \"\xff\"}"), "UTF-8"; "not utf 8")]
#[tokio::test]
async fn unreadable_file_is_not_named(content: Option<&[u8]>, reason: &str) {
    let valid = write_file("file", "valid.json", VALID);
    let name = if content.is_some() {
        "odd.json"
    } else {
        "none.json"
    };
    let path = match content {
        Some(content) => write_file("file", name, content),
        None => valid.with_file_name(name),
    };
    let base = path.to_string_lossy();
    let outputs = [
        check(&path, &[]).await,
        check(&valid, &["--against", &*base]).await,
        check(&valid, &["--settings", &*base]).await,
    ];
    for output in &outputs {
        let text = stderr(output);
        assert_eq!(code(output), Some(2), "{text}");
        assert!(text.contains(name) && text.contains(reason), "{text}");
    }
}

/// Guards against regions and bounds of the settings that are passed over.
#[tokio::test]
async fn settings_are_passed_over() {
    let path = write_file("settings", "valid.json", VALID);
    let text = settings("front-1", "127.0.0.1", 7_000, ([127, 0, 0, 1], 9).into());
    let file = write_file("settings", "some.conf", format!("{text}zones.here=north\n"));
    let output = check(&path, &["--settings", &file.to_string_lossy()]).await;
    assert_eq!(code(&output), Some(0));
    let text = stdout(&output);
    let expected = "no data centre is in the region `south`";
    assert!(text.contains(expected), "{text}");
    let file = write_file("settings", "bad.conf", "zone=here\n");
    let output = check(&path, &["--settings", &file.to_string_lossy()]).await;
    assert_eq!(code(&output), Some(2));
    let text = stderr(&output);
    let is_named = text.contains("bad.conf") && text.contains("is missing");
    assert!(is_named, "{text}");
}

/// Guards against a comparison with another version than the active one, and against one that changes anything there.
#[tokio::test]
async fn active_version_is_not_compared_with() {
    let store = Store::start().await;
    store.configure(&serde_json::from_str(VALID).unwrap());
    let address = store.address.to_string();
    let same = write_file("store", "same.json", changed(&[]));
    let output = check(&same, &["--store", &address]).await;
    assert_eq!(code(&output), Some(2));
    let text = stdout(&output);
    assert!(text.contains("error[version-not-above] version"), "{text}");
    assert!(text.ends_with("no difference\n"), "{text}");
    let later = write_file("store", "later.json", changed(&[LATER, WARNING]));
    let output = check(&later, &["--store", &address]).await;
    assert_eq!(code(&output), Some(0), "{}", stderr(&output));
    let text = stdout(&output);
    assert!(
        text.contains("compared with r12:\n! rule r-files"),
        "{text}"
    );
    assert_eq!((store.reads(), store.writes()), (2, 0));
}

/// Guards against a comparison that seems to have been made though the active version is missing or not readable.
#[test_case(None, "not compared: the store has no configuration\n", "missing"; "missing")]
#[test_case(Some(json!({"version": 4})), "not readable: invalid type", "unreadable"; "not readable")]
#[tokio::test]
async fn unreadable_active_version_is_compared_with(
    active: Option<Value>,
    expected: &str,
    state: &str,
) {
    let store = Store::start().await;
    if let Some(active) = &active {
        store.configure(active);
    }
    let address = store.address.to_string();
    let path = write_file("unreadable-active", &format!("{state}.json"), VALID);
    let output = check(&path, &["--store", &address]).await;
    assert_eq!(code(&output), Some(0), "{}", stderr(&output));
    let text = stdout(&output);
    assert!(text.contains(expected), "{text}");
    let output = check(&path, &["--store", &address, "--json"]).await;
    let found = parse(&output);
    assert_eq!(found["differences"], Value::Null);
    assert_eq!(found["base"]["state"], state);
}

/// Guards against findings that are lost with the store, and against an exit code that takes the configuration for compared.
#[test_case(Faults { is_silent: true, ..Faults::default() }; "silent")]
#[test_case(Faults { refuse: Some(503), ..Faults::default() }; "refusing")]
#[tokio::test]
async fn findings_are_lost_with_the_store(faults: Faults) {
    let store = Store::start().await;
    store.set(faults);
    let address = store.address.to_string();
    let name = if faults.is_silent {
        "silent.json"
    } else {
        "refusing.json"
    };
    let path = write_file("lost", name, changed(&[ERROR]));
    let output = check(&path, &["--store", &address, "--timeout", "1"]).await;
    assert_eq!(code(&output), Some(4));
    let text = stdout(&output);
    assert!(text.contains("error[unknown-service]"), "{text}");
    assert!(
        text.contains("not compared: cannot read the store"),
        "{text}"
    );
}

/// Guards against a store that refuses one read and is given up.
#[tokio::test]
async fn store_that_refuses_a_read_is_given_up() {
    let store = Store::start().await;
    store.configure(&serde_json::from_str(VALID).unwrap());
    store.set(Faults {
        refuse: Some(503),
        ..Faults::default()
    });
    let address = store.address.to_string();
    let path = write_file("again", "later.json", changed(&[LATER]));
    let args = ["--store", &address, "--timeout", "60"];
    let recover = async {
        while store.reads() == 0 {
            tokio::task::yield_now().await;
        }
        store.set(Faults::default());
    };
    let (output, ()) = tokio::join!(check(&path, &args), recover);
    assert_eq!(code(&output), Some(0), "{}", stdout(&output));
}

/// Guards against two versions to compare with, of which one would be passed over.
#[tokio::test]
async fn two_versions_to_compare_with_are_accepted() {
    let path = write_file("two", "valid.json", VALID);
    let args = ["--store", "127.0.0.1:9", "--against", "x.json"];
    let output = check(&path, &args).await;
    assert_eq!(code(&output), Some(1), "{}", stdout(&output));
}

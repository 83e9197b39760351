//! `copperwelld --check` accepts valid settings and reports invalid ones.

use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
};

use test_case::test_case;

const SETTINGS: &str = "
name: entry-1
data_centre: ro-nord-a
region: ro-nord
listen:
  callers: 127.0.0.1:8000
  requests: 127.0.0.1:8001
  control: 127.0.0.1:8002
  admin: 127.0.0.1:8003
platform: { log: '127.0.0.1:9000', vms: '127.0.0.1:9001' }
callers: { connections: 10 }
workers: 2
";

/// The exit code for invalid settings.
const EXIT_INVALID_SETTINGS: i32 = 2;

#[test]
fn valid_settings() {
    let output = check("good", SETTINGS);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stderr, b"");
}

#[test_case("name", "entry-1", "entry 1", "name: `entry 1` is not a valid name; use 1 to 64 of"; "name")]
#[test_case("taken", "8001", "8000", "listen.requests: 127.0.0.1:8000 is already used by listen.callers; use a different port for each"; "taken")]
#[test_case("port", "127.0.0.1:8002", "here", "listen.control: invalid socket address syntax at line 8"; "port")]
#[test_case("any", "127.0.0.1:8002", "0.0.0.0:8002", "advertise: missing, and listen.control is not a specific address; set advertise"; "any")]
#[test_case("unknown", "region:", "regoin:", "unknown field `regoin`, expected one of `name`, `data_centre`, `region`"; "unknown")]
#[test_case("missing", "region: ro-nord", "", "missing field `region`"; "missing")]
#[test_case("workers", "workers: 2", "workers: 0", "workers: lower than 1"; "workers")]
#[test_case("connections", "connections: 10", "connections: 0", "callers.connections: lower than 1"; "connections")]
fn invalid_settings(case: &str, valid: &str, invalid: &str, message: &str) {
    let output = check(case, &SETTINGS.replacen(valid, invalid, 1));
    assert_eq!(output.status.code(), Some(EXIT_INVALID_SETTINGS));
    assert_eq!(output.stdout, b"");
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(stderr.contains(message), "{stderr}");
    let file = file(case).display().to_string();
    assert!(stderr.contains(&file), "{stderr}");
}

#[test]
fn missing_file() {
    let file = file("nowhere");
    let output = run(&file);
    assert_eq!(output.status.code(), Some(EXIT_INVALID_SETTINGS));
    let stderr = String::from_utf8(output.stderr).unwrap();
    let message = format!("reading {}", file.display());
    assert!(stderr.contains(&message), "{stderr}");
}

fn check(case: &str, settings: &str) -> Output {
    let file = file(case);
    fs::write(&file, settings).unwrap();
    run(&file)
}

fn file(case: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("check-{case}.yaml"))
}

fn run(file: &PathBuf) -> Output {
    Command::new(env!("CARGO_BIN_EXE_copperwelld"))
        .args(["--check", "--settings"])
        .arg(file)
        .output()
        .unwrap()
}

//! Tests the command as a process against the stand-in platform.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Output, Stdio},
    time::Duration,
};

use copperwell_keyspace::record::{Body, Record, STREAM};
use copperwell_log::Log;
use copperwell_standin::platform::Platform;
use test_case::test_case;
use tokio::process::Command;

const MANIFEST: &str = "
replaces: REPLACES
data_centres:
  - { name: north, region: ro }
services:
  - name: calendar
    class: interactive
    shards: 8
    limits: { queue: QUEUE }
    upstreams:
      - { name: one, data_centre: north, address: 127.0.0.1:80, slots: 2, connections: 130 }
";

/// Writes a file to the directory of these tests and returns its path.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the directory exists");
    path
}

fn manifest(name: &str, replaces: u64, queue: u32) -> PathBuf {
    let text = MANIFEST
        .replace("REPLACES", &replaces.to_string())
        .replace("QUEUE", &queue.to_string());
    write_file(name, &text)
}

async fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_copperwell"))
        .args(args)
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output()
        .await
        .expect("the command starts")
}

async fn publish(platform: &Platform, path: &Path, extra_args: &[&str]) -> Output {
    let address = platform.address().to_string();
    let path = path.to_string_lossy();
    let mut args = vec!["publish", &*path, "--platform", &address];
    args.extend(extra_args);
    run(&args).await
}

fn code(output: &Output) -> Option<i32> {
    output.status.code()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test_case("abraziv")]
#[test_case("tazza")]
#[tokio::test]
async fn the_examples_are_valid(user: &str) {
    let path = format!(
        "{}/../../examples/{user}/manifest.yaml",
        env!("CARGO_MANIFEST_DIR")
    );
    let output = run(&["check", &path]).await;
    assert_eq!(code(&output), Some(0), "{}", stderr(&output));
}

#[test_case("shards: 8", "shard: 8", "unknown field `shard`"; "unknown field")]
#[test_case("shards: 8", "shards: many", "services[0].shards"; "wrong type")]
#[test_case("data_centre: north", "data_centre: south", "services[0].upstreams[0].data_centre: `south`"; "unknown data centre")]
#[tokio::test]
async fn an_invalid_manifest_is_not_published(old: &str, new: &str, expected: &str) {
    let platform = Platform::start().await;
    let text = MANIFEST.replace("REPLACES", "0").replace("QUEUE", "5");
    let name = format!("bad-{}.yaml", new.replace(' ', "-"));
    let path = write_file(&name, &text.replace(old, new));
    let output = publish(&platform, &path, &[]).await;
    assert_eq!(code(&output), Some(2));
    let stderr = stderr(&output);
    assert!(stderr.contains(expected), "{stderr}");
    assert_eq!(platform.appends(), 0);
}

#[tokio::test]
async fn of_two_concurrent_publications_one_reports_a_conflict() {
    let platform = Platform::start().await;
    let (one, two) = (manifest("one.yaml", 0, 1), manifest("two.yaml", 0, 2));
    let (one, two) = tokio::join!(publish(&platform, &one, &[]), publish(&platform, &two, &[]));
    let (winner, loser) = if code(&one) == Some(0) {
        (one, two)
    } else {
        (two, one)
    };
    assert_eq!((code(&winner), code(&loser)), (Some(0), Some(3)));
    let stderr = stderr(&loser);
    assert!(
        stderr.contains("conflict: the manifest replaces version 0"),
        "{stderr}"
    );
}

#[tokio::test]
async fn a_change_is_published_as_a_difference() {
    let platform = Platform::start().await;
    for (replaces, queue) in [(0, 1), (1, 2)] {
        let path = manifest("change.yaml", replaces, queue);
        let output = publish(&platform, &path, &[]).await;
        assert_eq!(code(&output), Some(0), "{}", stderr(&output));
    }
    let log = copperwell_log::http::Client::new(platform.address());
    let read = log.read(STREAM, 0, Duration::ZERO).await;
    let records = read.expect("the platform is up").records;
    let bodies = records.iter().map(|entry| Record::decode(&entry.bytes));
    let bodies: Vec<Body> = bodies.map(|read| read.expect("a record").body).collect();
    assert!(
        matches!(bodies[..], [Body::Manifest(_), Body::Difference(_)]),
        "{bodies:?}"
    );
}

#[tokio::test]
async fn a_lost_response_does_not_fail_a_publication() {
    let platform = Platform::start().await;
    platform.lose_answers(1);
    let path = manifest("lost.yaml", 0, 1);
    let output = publish(&platform, &path, &[]).await;
    assert_eq!(code(&output), Some(0), "{}", stderr(&output));
    let again = publish(&platform, &path, &[]).await;
    assert_eq!(code(&again), Some(0));
    let text = String::from_utf8_lossy(&again.stdout).into_owned();
    assert!(text.contains("accepted before"), "{text}");
}

#[tokio::test]
async fn nothing_is_published_while_the_platform_is_down() {
    let platform = Platform::start().await;
    platform.stop();
    platform.stopped().await;
    let path = manifest("away.yaml", 0, 1);
    let output = publish(&platform, &path, &["--timeout", "1"]).await;
    assert_eq!(code(&output), Some(4));
    assert!(
        stderr(&output).contains("not published"),
        "{}",
        stderr(&output)
    );
}

#[tokio::test]
async fn a_new_state_is_started_only_on_request() {
    let platform = Platform::start().await;
    let log = copperwell_log::http::Client::new(platform.address());
    for _ in 0..3 {
        log.append(STREAM, vec![0])
            .await
            .expect("the platform is up");
    }
    platform.set_retention(1);
    let path = manifest("anew.yaml", 0, 1);
    let output = publish(&platform, &path, &["--timeout", "1"]).await;
    assert_eq!(code(&output), Some(4));
    assert!(
        stderr(&output).contains("--begin-anew"),
        "{}",
        stderr(&output)
    );
    platform.set_retention(9);
    let output = publish(&platform, &path, &["--begin-anew"]).await;
    assert_eq!(code(&output), Some(0), "{}", stderr(&output));
}

#[tokio::test]
async fn diff_prints_the_changed_fields() {
    let (one, two) = (manifest("old.yaml", 0, 1), manifest("new.yaml", 0, 2));
    let (one, two) = (one.to_string_lossy(), two.to_string_lossy());
    let output = run(&["diff", &two, "--against", &one]).await;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(text, "~ services[calendar].limits.queue: 1 -> 2\n");
}

#[test_case(&["status"], "--daemon"; "no daemon")]
#[test_case(&["publish", "x.yaml"], "--platform"; "no platform")]
#[tokio::test]
async fn wrong_usage_reports_the_missing_argument(args: &[&str], expected: &str) {
    let output = run(args).await;
    assert_eq!(code(&output), Some(1));
    assert!(stderr(&output).contains(expected), "{}", stderr(&output));
}

#[tokio::test]
async fn unreachable_daemons_are_reported() {
    let output = run(&["status", "--daemon", "127.0.0.1:1"]).await;
    assert_eq!(code(&output), Some(4));
    assert!(
        stderr(&output).contains("no daemon answers"),
        "{}",
        stderr(&output)
    );
}

const LOG: &str = r#"{"timestamp":100,"payload":"started","kv":{"event":"start","name":"north-1"}}
no line
{"timestamp":900,"payload":"a request got no answer","kv":{"event":"request-refused","request":"r1","reason":"overload","whole_ms":50}}
"#;

#[tokio::test]
async fn a_request_is_traced_through_logs() {
    let path = write_file("trace.log", LOG);
    let output = run(&["trace", "r1", &path.to_string_lossy()]).await;
    assert_eq!(code(&output), Some(0), "{}", stderr(&output));
    let stdout = String::from_utf8_lossy(&output.stdout);
    let expected = "    +50 ms * north-1: a request got no answer event=request-refused \
        reason=overload whole_ms=50\n";
    assert_eq!(stdout, expected);
    let stderr = stderr(&output);
    assert!(stderr.contains("trace:2: not a log line"), "{stderr}");
}

#[test_case(&["trace", "r2", "trace-none.log"], 7, "no line about request r2"; "unknown request")]
#[test_case(&["trace", "r1"], 7, "no line about request r1"; "empty standard input")]
#[test_case(&["trace", "r1", "not-there.log"], 4, "cannot read"; "no such file")]
#[test_case(&["trace"], 1, "REQUEST"; "no request")]
#[tokio::test]
async fn an_empty_trace_reports_the_reason(args: &[&str], expected: i32, message: &str) {
    write_file("trace-none.log", LOG);
    let paths = args.iter().map(|arg| {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(arg);
        let is_log = arg.ends_with(".log");
        if is_log {
            path.to_string_lossy().into_owned()
        } else {
            (*arg).to_owned()
        }
    });
    let args: Vec<String> = paths.collect();
    let output = run(&args.iter().map(String::as_str).collect::<Vec<_>>()).await;
    let stderr = stderr(&output);
    assert_eq!(code(&output), Some(expected), "{stderr}");
    assert!(stderr.contains(message), "{stderr}");
}

//! Settings, signals, metrics and logs of a daemon.

use std::{
    fs,
    path::PathBuf,
    process::{Command, Stdio},
    time::Duration,
};

use crate::{
    harness::{CONDITION_TIMEOUT, Daemon, Harness, configure},
    standin::{settings, store::Store},
};
use http::StatusCode;
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

/// SIGHUP reloads the settings and does not stop the daemon.
#[tokio::test(flavor = "multi_thread")]
async fn hangup_does_not_stop_the_daemon() {
    let harness = Harness::start(1).await;
    harness.wait_served().await;
    harness.daemons[0].signal(Signal::HUP);
    harness.wait_served().await;
}

/// Metrics include requests and the age of the daemon's state, and are served at the port given on
/// the command line.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_are_served_at_the_metrics_port() {
    let harness = Harness::start(1).await;
    harness.wait_served().await;
    let metrics = harness.daemons[0].metrics(&harness.client).await.unwrap();
    for name in [
        "copperwell_gateway_requests_total",
        "copperwell_gateway_latency_seconds_bucket",
        "copperwell_gateway_configuration_age_seconds",
        "copperwell_gateway_leader_age_seconds",
        "copperwell_gateway_daemons",
        "copperwell_gateway_retries_left{service=\"cups\"}",
        "copperwell_assignment_leading",
    ] {
        let line = metrics.lines().find(|line| line.starts_with(name));
        assert!(line.is_some(), "{name} is missing:\n{metrics}");
    }
    let age = "copperwell_gateway_configuration_age_seconds -1";
    assert!(!metrics.contains(age), "{metrics}");
}

/// The store moves, and the settings file changes without a signal. Invalid settings written before
/// change nothing.
#[tokio::test(flavor = "multi_thread")]
async fn settings_changed_without_a_signal_are_applied() {
    let harness = Harness::start(1).await;
    harness.wait_served().await;
    let daemon = &harness.daemons[0];
    let new_store = Store::start().await;
    configure(&new_store, 900, &["cups", "pay"]);
    daemon.change(&new_store, "grace=6s", "grace=soon");
    configure(&harness.store, 800, &["cups", "pay"]);
    wait_version(&harness, 800).await;
    daemon.change(&new_store, "", "");
    wait_version(&harness, 900).await;
}

async fn wait_version(harness: &Harness, version: u64) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while harness.daemons[0]
        .status(&harness.client, "configuration")
        .await
        != Some(version.into())
    {
        assert!(
            Instant::now() < deadline,
            "version {version} is not in force"
        );
        sleep(Duration::from_millis(50)).await;
    }
}

/// A pipe without a reader fills up with log lines, and the daemon continues to serve.
#[tokio::test(flavor = "multi_thread")]
async fn unread_log_does_not_block_the_daemon() {
    let mut harness = Harness::start(1).await;
    harness.wait_served().await;
    let daemon = Daemon::start(&harness.store, Stdio::piped());
    harness.daemons = vec![daemon];
    harness.wait_served().await;
    // Each request logs a line of about 300 bytes; a pipe holds 64 KiB.
    for number in 0..1_000 {
        let id = format!("none-{number}");
        let response = harness.send(0, "/nowhere/1", &id, 1).await.unwrap();
        assert_eq!(response.0, StatusCode::NOT_FOUND);
    }
    harness.wait_served().await;
}

#[test]
fn invalid_settings_are_reported() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("gateway-bad.conf");
    let text = settings("front-1", "127.0.0.1", 7_000, ([127, 0, 0, 1], 9).into());
    fs::write(&file, text.replacen("grace=6s", "grace=soon", 1)).unwrap();
    let run_check = |file: &PathBuf| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_copperwelld"));
        command.args(["gateway", "--check", "--settings"]).arg(file);
        command.output().unwrap()
    };
    let output = run_check(&file);
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(stderr.contains("`grace=soon` makes no sense"), "{stderr}");
    assert!(stderr.contains("gateway-bad.conf"), "{stderr}");
    fs::write(&file, text).unwrap();
    assert_eq!(run_check(&file).status.code(), Some(0));
}

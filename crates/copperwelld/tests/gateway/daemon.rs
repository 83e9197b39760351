//! Settings, signals and logs of a daemon.

use std::{
    fs,
    path::PathBuf,
    process::{Command, Stdio},
    time::Duration,
};

use crate::{
    harness::{Bench, CONDITION, Daemon, configure},
    standin::{settings, store::Store},
};
use http::StatusCode;
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

/// Settings are read again; a daemon is not ended by the signal, nor by settings that are wrong.
#[tokio::test(flavor = "multi_thread")]
async fn a_hangup_stops_nothing() {
    let bench = Bench::start(1).await;
    bench.serves().await;
    bench.daemons[0].signal(Signal::HUP);
    bench.serves().await;
}

/// Metrics say what was asked, how old beliefs are, and are there at the port that the command names.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_are_served_at_their_port() {
    let bench = Bench::start(1).await;
    bench.serves().await;
    let metrics = bench.daemons[0].metrics(&bench.client).await.unwrap();
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

/// The store moves, and the settings file says so without a signal; one that makes no sense before
/// changes nothing.
#[tokio::test(flavor = "multi_thread")]
async fn settings_that_change_without_a_signal_are_taken() {
    let bench = Bench::start(1).await;
    bench.serves().await;
    let daemon = &bench.daemons[0];
    let moved = Store::start().await;
    configure(&moved, 900, &["cups", "pay"]);
    daemon.change(&moved, "grace=6s", "grace=soon");
    configure(&bench.store, 800, &["cups", "pay"]);
    wait_version(&bench, 800).await;
    daemon.change(&moved, "", "");
    wait_version(&bench, 900).await;
}

async fn wait_version(bench: &Bench, version: u64) {
    let until = Instant::now() + CONDITION;
    while bench.daemons[0]
        .status(&bench.client, "configuration")
        .await
        != Some(version.into())
    {
        assert!(Instant::now() < until, "version {version} is not in force");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Nobody reads the log: the pipe is full after some lines, and the daemon goes on.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_nobody_reads_stops_nothing() {
    let mut bench = Bench::start(1).await;
    bench.serves().await;
    let daemon = Daemon::start(&bench.store, Stdio::piped());
    bench.daemons = vec![daemon];
    bench.serves().await;
    // Each of these is a line of some 300 bytes; a pipe holds 64 KiB.
    for number in 0..1_000 {
        let id = format!("none-{number}");
        let answer = bench.ask(0, "/nowhere/1", &id, 1).await.unwrap();
        assert_eq!(answer.0, StatusCode::NOT_FOUND);
    }
    bench.serves().await;
}

#[test]
fn settings_that_make_no_sense_are_named() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("gateway-bad.conf");
    let text = settings("front-1", "127.0.0.1", 7_000, ([127, 0, 0, 1], 9).into());
    fs::write(&file, text.replacen("grace=6s", "grace=soon", 1)).unwrap();
    let check = |file: &PathBuf| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_copperwelld"));
        command.args(["gateway", "--check", "--settings"]).arg(file);
        command.output().unwrap()
    };
    let output = check(&file);
    assert_eq!(output.status.code(), Some(2));
    let said = String::from_utf8(output.stderr).unwrap();
    assert!(said.contains("`grace=soon` makes no sense"), "{said}");
    assert!(said.contains("gateway-bad.conf"), "{said}");
    fs::write(&file, text).unwrap();
    assert_eq!(check(&file).status.code(), Some(0));
}

//! Killed and frozen servers.

use crate::support::Harness;

#[tokio::test(flavor = "multi_thread")]
async fn killed_upstream() {
    let harness = Harness::start().await;
    let load = harness.load();
    harness.cluster.server("cal-a1").unwrap().kill();
    harness.wait_lost("cal-a1").await;
    harness.wait_served().await;
    harness
        .cluster
        .server("cal-a1")
        .unwrap()
        .restart()
        .await
        .unwrap();
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_upstream_that_resumes_past_its_lease() {
    let harness = Harness::start().await;
    let load = harness.load();
    harness.cluster.server("cal-a1").unwrap().freeze();
    harness.wait_lost("cal-a1").await;
    harness.wait_served().await;
    harness.cluster.server("cal-a1").unwrap().wake();
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
}

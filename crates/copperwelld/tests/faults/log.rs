//! Outages of the platform's log, and lost responses to appends.

use copperwell_operator::status::LogState;

use crate::support::{DATA_CENTRE, GROUP, Harness};

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_while_the_log_is_down() {
    let mut harness = Harness::start().await;
    let load = harness.load();
    let old = harness.leader(GROUP).await;
    harness.stop_log().await;
    let _old = harness.kill(&old);
    harness.new_leader(GROUP, &old).await;
    harness.wait_served().await;
    harness.restore_log().await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    assert_eq!(harness.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_lost_while_the_log_is_down() {
    let harness = Harness::start().await;
    let load = harness.load();
    harness.stop_log().await;
    harness.wait_served().await;
    harness.cluster.server("cal-a1").unwrap().kill();
    harness.wait_lost("cal-a1").await;
    harness.wait_served().await;
    harness.restore_log().await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_and_upstream_killed_while_the_log_is_down() {
    let mut harness = Harness::start().await;
    let load = harness.load();
    let old = harness.leader(GROUP).await;
    harness.stop_log().await;
    harness.cluster.server("cal-a1").unwrap().kill();
    let _old = harness.kill(&old);
    harness.new_leader(GROUP, &old).await;
    // Only the platform can confirm that the old leader will not renew the lost server's leases.
    harness.cluster.platform.set_down(false);
    harness.cluster.list();
    harness.wait_log(LogState::Current).await;
    harness.wait_lost("cal-a1").await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_append_responses_while_a_leader_is_killed() {
    let mut harness = Harness::start().await;
    let load = harness.load();
    let old = harness.leader(GROUP).await;
    let appends = harness.cluster.platform.appends();
    harness.cluster.platform.lose_answers(2);
    let _old = harness.kill(&old);
    harness.new_leader(GROUP, &old).await;
    harness
        .wait("the leader's appointment", |cluster| {
            cluster.platform.appends() > appends
        })
        .await;
    harness.cluster.add_node(DATA_CENTRE).await.unwrap();
    harness
        .wait("its standby's appointment", |cluster| {
            cluster.platform.appends() > appends + 1
        })
        .await;
    harness.wait_served().await;
    harness.wait_log(LogState::Current).await;
    harness.end_load_and_check(load).await;
    assert_eq!(harness.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_that_starts_while_the_platform_is_down() {
    let mut harness = Harness::start().await;
    let load = harness.load();
    harness.stop_log().await;
    harness.cluster.add_node(DATA_CENTRE).await.unwrap();
    let new = harness.cluster.nodes.last().unwrap();
    harness
        .wait_status("the manifest", new, |status| status.manifest == 1)
        .await;
    harness.wait_served_through(new).await;
    harness.restore_log().await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    assert_eq!(harness.moves(), []);
}

//! Killed and paused leaders.

use copperwell_rig::load::Entries;

use crate::support::{DATA_CENTRE, GROUP, Harness, Load, OTHER_GROUP};

#[tokio::test(flavor = "multi_thread")]
async fn killed_leader_moves_no_shard() {
    let mut harness = Harness::start().await;
    let load = harness.load();
    let old = harness.leader(GROUP).await;
    let _old = harness.kill(&old);
    harness.new_leader(GROUP, &old).await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    assert_eq!(harness.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_leader_that_resumes_past_its_lease_with_queued_requests() {
    let mut harness = Harness::start().await;
    let old = harness.leader(GROUP).await;
    let old_leader_entry =
        Entries::new(vec![harness.cluster.node(&old).unwrap().addresses.callers]);
    let load = harness.load();
    let old_leader_load = Load::start(old_leader_entry);
    harness.wait_served().await;
    let old = harness.cluster.take_node(&old);
    old.pause();
    harness.new_leader(GROUP, &old.name).await;
    harness.wait_served().await;
    old.resume();
    harness.wait_served_through(&old).await;
    harness.wait_served().await;
    let mut results = old_leader_load.end().await;
    results.extend(harness.end_load_and_check(load).await);
    harness.check_results(&results);
    assert_eq!(harness.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_and_upstream_killed_together() {
    let mut harness = Harness::start().await;
    let load = harness.load();
    let old = harness.leader(GROUP).await;
    harness.cluster.server("cal-a1").unwrap().kill();
    let _old = harness.kill(&old);
    // The shards of the lost server are reassigned once the platform's list of VMs no longer
    // contains the leader's VM.
    harness.cluster.list();
    harness.new_leader(GROUP, &old).await;
    harness.wait_lost("cal-a1").await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_paused_and_upstream_frozen_together() {
    let mut harness = Harness::start().await;
    let load = harness.load();
    let old = harness.leader(GROUP).await;
    let old = harness.cluster.take_node(&old);
    harness.cluster.server("cal-a1").unwrap().freeze();
    old.pause();
    harness.new_leader(GROUP, &old.name).await;
    // Only the old leader can confirm that it will not renew the frozen server's leases.
    old.resume();
    harness.wait_lost("cal-a1").await;
    harness.wait_served().await;
    harness.cluster.server("cal-a1").unwrap().wake();
    harness.wait_served_through(&old).await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_leaders_killed_in_turn() {
    let mut harness = Harness::start().await;
    let load = harness.load();
    for _ in 0..2 {
        let old = harness.leader(GROUP).await;
        let _old = harness.kill(&old);
        harness.new_leader(GROUP, &old).await;
        harness.cluster.add_node(DATA_CENTRE).await.unwrap();
        harness.wait_served().await;
        harness.wait_standby(GROUP).await;
    }
    harness.end_load_and_check(load).await;
    assert_eq!(harness.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaders_of_both_data_centres_killed_together() {
    let mut harness = Harness::start().await;
    let load = harness.load();
    let local_leader = harness.leader(GROUP).await;
    let remote_leader = harness.leader(OTHER_GROUP).await;
    let _local_leader = harness.kill(&local_leader);
    let _remote_leader = harness.kill(&remote_leader);
    harness.new_leader(GROUP, &local_leader).await;
    harness.new_leader(OTHER_GROUP, &remote_leader).await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    assert_eq!(harness.moves(), []);
}

//! Lost and paused leaders.

use copperwell_rig::load::Entries;

use crate::support::{Bench, GROUP, HERE, Load, OTHER_GROUP};

#[tokio::test(flavor = "multi_thread")]
async fn killed_leader_moves_no_shard() {
    let mut bench = Bench::start().await;
    let load = bench.load();
    let old = bench.leader(GROUP).await;
    let _old = bench.kill(&old);
    bench.new_leader(GROUP, &old).await;
    bench.serves().await;
    bench.check(load).await;
    assert_eq!(bench.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_leader_that_wakes_past_its_lease_with_requests_to_send() {
    let mut bench = Bench::start().await;
    let old = bench.leader(GROUP).await;
    let direct = Entries::new(vec![bench.cluster.node(&old).unwrap().addresses.callers]);
    let load = bench.load();
    let to_old = Load::start(direct);
    bench.serves().await;
    let old = bench.cluster.take_node(&old);
    old.pause();
    bench.new_leader(GROUP, &old.name).await;
    bench.serves().await;
    old.resume();
    bench.serves_through(&old).await;
    bench.serves().await;
    let mut results = to_old.end().await;
    results.extend(bench.check(load).await);
    bench.check_results(&results);
    assert_eq!(bench.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_and_upstream_killed_together() {
    let mut bench = Bench::start().await;
    let load = bench.load();
    let old = bench.leader(GROUP).await;
    bench.cluster.server("cal-a1").unwrap().kill();
    let _old = bench.kill(&old);
    // What the lost server held is given away when the platform lists the leader's VM no more.
    bench.cluster.list();
    bench.new_leader(GROUP, &old).await;
    bench.wait_lost("cal-a1").await;
    bench.serves().await;
    bench.check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_paused_and_upstream_frozen_together() {
    let mut bench = Bench::start().await;
    let load = bench.load();
    let old = bench.leader(GROUP).await;
    let old = bench.cluster.take_node(&old);
    bench.cluster.server("cal-a1").unwrap().freeze();
    old.pause();
    bench.new_leader(GROUP, &old.name).await;
    // Only the old leader can tell that it will not renew what the frozen server holds.
    old.resume();
    bench.wait_lost("cal-a1").await;
    bench.serves().await;
    bench.cluster.server("cal-a1").unwrap().wake();
    bench.serves_through(&old).await;
    bench.serves().await;
    bench.check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_leaders_killed_in_turn() {
    let mut bench = Bench::start().await;
    let load = bench.load();
    for _ in 0..2 {
        let old = bench.leader(GROUP).await;
        let _old = bench.kill(&old);
        bench.new_leader(GROUP, &old).await;
        bench.cluster.add_node(HERE).await.unwrap();
        bench.serves().await;
        bench.wait_standby(GROUP).await;
    }
    bench.check(load).await;
    assert_eq!(bench.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaders_of_both_data_centres_killed_together() {
    let mut bench = Bench::start().await;
    let load = bench.load();
    let here = bench.leader(GROUP).await;
    let there = bench.leader(OTHER_GROUP).await;
    let _here = bench.kill(&here);
    let _there = bench.kill(&there);
    bench.new_leader(GROUP, &here).await;
    bench.new_leader(OTHER_GROUP, &there).await;
    bench.serves().await;
    bench.check(load).await;
    assert_eq!(bench.moves(), []);
}

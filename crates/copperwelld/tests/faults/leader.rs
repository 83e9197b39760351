//! Lost and paused leaders.

use copperwell_rig::load::Entries;

use crate::support::{Bench, GROUP, Load};

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

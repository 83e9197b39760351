//! Failures of the daemons that read the log for others: killed, paused, or partitioned from the
//! platform.

use copperwell_policy::readers::READERS_PER_DATA_CENTRE;

use crate::support::Harness;

#[tokio::test(flavor = "multi_thread")]
async fn manifest_is_applied_with_one_reader_killed_and_one_paused() {
    let mut harness = Harness::start_with_many_daemons().await;
    let load = harness.load();
    let readers = harness.readers().await;
    assert_eq!(readers.len(), READERS_PER_DATA_CENTRE);
    harness.publish().await;
    let paused = harness.cluster.take_node(&readers[0]);
    paused.pause();
    let _killed = harness.kill(&readers[1]);
    harness.publish().await;
    paused.resume();
    harness.cluster.nodes.push(paused);
    harness.cluster.list();
    harness.publish().await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn manifest_is_applied_with_all_readers_partitioned_from_the_platform() {
    let mut harness = Harness::start_with_many_daemons().await;
    let load = harness.load();
    let readers = harness.readers().await;
    for name in &readers {
        let doors = &harness.cluster.node(name).unwrap().doors;
        doors.as_ref().unwrap().platform.cut_both();
    }
    harness.publish().await;
    harness.publish().await;
    for name in &readers {
        let doors = &harness.cluster.node(name).unwrap().doors;
        doors.as_ref().unwrap().platform.heal();
    }
    harness.publish().await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
}

//! The daemons that read the log for others are lost, paused or cut off from it.

use copperwell_policy::readers::READERS_PER_DATA_CENTRE;

use crate::support::Bench;

#[tokio::test(flavor = "multi_thread")]
async fn a_manifest_is_in_force_although_one_reader_is_killed_and_one_paused() {
    let mut bench = Bench::start_crowded().await;
    let load = bench.load();
    let readers = bench.readers().await;
    assert_eq!(readers.len(), READERS_PER_DATA_CENTRE);
    bench.publish().await;
    let paused = bench.cluster.take_node(&readers[0]);
    paused.pause();
    let _killed = bench.kill(&readers[1]);
    bench.publish().await;
    paused.resume();
    bench.cluster.nodes.push(paused);
    bench.cluster.list();
    bench.publish().await;
    bench.serves().await;
    bench.check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_manifest_is_in_force_although_all_readers_are_cut_off_from_the_platform() {
    let mut bench = Bench::start_crowded().await;
    let load = bench.load();
    let readers = bench.readers().await;
    for name in &readers {
        let doors = &bench.cluster.node(name).unwrap().doors;
        doors.as_ref().unwrap().platform.cut_both();
    }
    bench.publish().await;
    bench.publish().await;
    for name in &readers {
        let doors = &bench.cluster.node(name).unwrap().doors;
        doors.as_ref().unwrap().platform.heal();
    }
    bench.publish().await;
    bench.serves().await;
    bench.check(load).await;
}

//! Rolling replacement of the daemons.

use tokio::task::spawn_blocking;

use crate::support::Harness;

#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement_of_all_daemons() {
    let mut harness = Harness::start().await;
    let load = harness.load();
    let nodes = harness.cluster.nodes.iter();
    let old: Vec<(String, String)> = nodes
        .map(|node| (node.name.to_string(), node.data_centre.to_string()))
        .collect();
    for (name, data_centre) in old {
        harness.cluster.add_node(&data_centre).await.unwrap();
        let new = harness.cluster.nodes.last().unwrap();
        harness.wait_served_through(new).await;
        let mut node = harness.cluster.take_node(&name);
        let shutdown = spawn_blocking(move || {
            node.terminate();
            node.wait()
        });
        assert!(
            shutdown.await.unwrap(),
            "{name} did not shut down gracefully"
        );
        harness.cluster.list();
        harness.wait_served().await;
    }
    harness.end_load_and_check(load).await;
    assert_eq!(harness.moves(), []);
}

//! Daemons replaced one by one.

use tokio::task::spawn_blocking;

use crate::support::Bench;

#[tokio::test(flavor = "multi_thread")]
async fn all_daemons_replaced_one_by_one() {
    let mut bench = Bench::start().await;
    let load = bench.load();
    let nodes = bench.cluster.nodes.iter();
    let old: Vec<(String, String)> = nodes
        .map(|node| (node.name.to_string(), node.data_centre.to_string()))
        .collect();
    for (name, data_centre) in old {
        bench.cluster.add_node(&data_centre).await.unwrap();
        let new = bench.cluster.nodes.last().unwrap();
        bench.serves_through(new).await;
        let mut node = bench.cluster.take_node(&name);
        let ended = spawn_blocking(move || {
            node.terminate();
            node.wait()
        });
        assert!(ended.await.unwrap(), "{name} did not stop in order");
        bench.cluster.list();
        bench.serves().await;
    }
    bench.check(load).await;
    assert_eq!(bench.moves(), []);
}

//! Data centres that are lost for good.

use test_case::test_case;

use crate::support::{Bench, HERE, with_third_data_centre};

/// What the operators do first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum First {
    /// The platform's list drops the VMs.
    List,
    /// The manifest without the upstreams is published.
    Publish,
}

#[test_case(First::List; "its machines are dropped first")]
#[test_case(First::Publish; "the manifest is published first")]
#[tokio::test(flavor = "multi_thread")]
async fn data_centre_lost_for_good(first: First) {
    let mut bench = Bench::start_with(with_third_data_centre).await;
    let load = bench.load();
    let nodes = bench.cluster.nodes.iter();
    let lost = nodes.filter(|node| &*node.data_centre == HERE);
    let lost: Vec<String> = lost.map(|node| node.name.to_string()).collect();
    let _lost: Vec<_> = lost.iter().map(|name| bench.kill(name)).collect();
    let upstreams = &bench.cluster.manifest.services[0].upstreams;
    for upstream in upstreams
        .iter()
        .filter(|upstream| &*upstream.data_centre == HERE)
    {
        bench.cluster.servers[&*upstream.name].kill();
    }
    if first == First::List {
        bench.cluster.list();
    }
    let manifest = &mut bench.cluster.manifest;
    manifest.replaces = 1;
    let upstreams = &mut manifest.services[0].upstreams;
    upstreams.retain(|upstream| &*upstream.data_centre != HERE);
    bench.cluster.publish().await.unwrap();
    if first == First::Publish {
        for node in &bench.cluster.nodes {
            bench
                .wait_status("the manifest", node, |status| status.manifest == 2)
                .await;
        }
        bench.cluster.list();
    }
    bench
        .wait("the others have all shards", |cluster| {
            cluster.held() >= cluster.shards()
        })
        .await;
    bench.serves().await;
    bench.check(load).await;
}

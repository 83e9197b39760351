//! Data centres that are lost for good.

use test_case::test_case;

use crate::support::{Bench, GROUP, HERE, with_third_data_centre};

/// What the operators do first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum First {
    /// The platform's list drops the VMs.
    List,
    /// The manifest without the upstreams is published.
    Publish,
    /// The same, and the leader that was appointed elsewhere is lost before the list is right.
    PublishAndLoseLeader,
}

#[test_case(First::List; "its machines are dropped first")]
#[test_case(First::Publish; "the manifest is published first")]
#[test_case(First::PublishAndLoseLeader; "and the leader from elsewhere is lost too")]
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
    if first != First::List {
        for node in &bench.cluster.nodes {
            bench
                .wait_status("the manifest", node, |status| status.manifest == 2)
                .await;
        }
    }
    if first == First::PublishAndLoseLeader {
        let next = bench.leader(GROUP).await;
        let _next = bench.kill(&next);
        bench.new_leader(GROUP, &next).await;
    }
    bench.cluster.list();
    bench
        .wait("the others have all shards", |cluster| {
            cluster.held() >= cluster.shards()
        })
        .await;
    bench.serves().await;
    bench.check(load).await;
}

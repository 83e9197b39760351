//! Permanent loss of a data centre.

use test_case::test_case;

use crate::support::{DATA_CENTRE, GROUP, Harness, with_third_data_centre};

/// The operators' first action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FirstAction {
    /// The VMs are removed from the platform's list.
    List,
    /// A manifest without the lost upstreams is published.
    Publish,
    /// The same, and the leader appointed in another data centre is lost before the list is
    /// updated.
    PublishAndLoseLeader,
}

#[test_case(FirstAction::List; "its VMs are removed from the list first")]
#[test_case(FirstAction::Publish; "the manifest is published first")]
#[test_case(FirstAction::PublishAndLoseLeader; "and the leader in another data centre is lost too")]
#[tokio::test(flavor = "multi_thread")]
async fn permanently_lost_data_centre(first_action: FirstAction) {
    let mut harness = Harness::start_with(with_third_data_centre).await;
    let load = harness.load();
    let nodes = harness.cluster.nodes.iter();
    let lost = nodes.filter(|node| &*node.data_centre == DATA_CENTRE);
    let lost: Vec<String> = lost.map(|node| node.name.to_string()).collect();
    let _lost: Vec<_> = lost.iter().map(|name| harness.kill(name)).collect();
    let upstreams = &harness.cluster.manifest.services[0].upstreams;
    for upstream in upstreams
        .iter()
        .filter(|upstream| &*upstream.data_centre == DATA_CENTRE)
    {
        harness.cluster.servers[&*upstream.name].kill();
    }
    if first_action == FirstAction::List {
        harness.cluster.list();
    }
    let manifest = &mut harness.cluster.manifest;
    manifest.replaces = 1;
    let upstreams = &mut manifest.services[0].upstreams;
    upstreams.retain(|upstream| &*upstream.data_centre != DATA_CENTRE);
    harness.cluster.publish().await.unwrap();
    if first_action != FirstAction::List {
        for node in &harness.cluster.nodes {
            harness
                .wait_status("the manifest", node, |status| status.manifest == 2)
                .await;
        }
    }
    if first_action == FirstAction::PublishAndLoseLeader {
        let new_leader = harness.leader(GROUP).await;
        let _next = harness.kill(&new_leader);
        harness.new_leader(GROUP, &new_leader).await;
    }
    harness.cluster.list();
    harness
        .wait("the other servers hold all shards", |cluster| {
            cluster.held() >= cluster.shards()
        })
        .await;
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
}

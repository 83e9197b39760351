//! Draining servers.

use copperwell_standin::backend::record::Outcome;
use test_case::test_case;
use tokio::time::Instant;

use crate::support::Harness;

/// The source of the drain signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DrainSource {
    Server,
    Manifest,
}

#[test_case(DrainSource::Server; "announced by the server")]
#[test_case(DrainSource::Manifest; "set in the manifest")]
#[tokio::test(flavor = "multi_thread")]
async fn draining_upstream(source: DrainSource) {
    let mut harness = Harness::start().await;
    let load = harness.load();
    harness
        .wait("the server runs requests", |cluster| {
            cluster.servers["cal-a1"].counts().running > 0
        })
        .await;
    match source {
        DrainSource::Server => harness.cluster.server("cal-a1").unwrap().drain(true),
        DrainSource::Manifest => {
            let manifest = &mut harness.cluster.manifest;
            manifest.replaces = 1;
            manifest.services[0].upstreams[0].drain = true;
            harness.cluster.publish().await.unwrap();
        }
    }
    harness
        .wait("the server holds nothing", |cluster| {
            cluster.servers["cal-a1"].shards().is_empty()
        })
        .await;
    let drained_at = Instant::now();
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    let runs = harness.cluster.record.runs().into_iter();
    for run in runs.filter(|run| &*run.server == "cal-a1") {
        assert!(
            run.start < drained_at,
            "new request at a drained server: {run:?}"
        );
        assert_eq!(run.outcome, Outcome::Done, "{run:?}");
    }
}

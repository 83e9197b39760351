//! Servers that are leaving.

use copperwell_standin::backend::record::Outcome;
use test_case::test_case;
use tokio::time::Instant;

use crate::support::Bench;

/// Who says that a server is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sign {
    Server,
    Manifest,
}

#[test_case(Sign::Server; "by its own word")]
#[test_case(Sign::Manifest; "by the manifest")]
#[tokio::test(flavor = "multi_thread")]
async fn draining_upstream(sign: Sign) {
    let mut bench = Bench::start().await;
    let load = bench.load();
    bench
        .wait("the server runs requests", |cluster| {
            cluster.servers["cal-a1"].counts().running > 0
        })
        .await;
    match sign {
        Sign::Server => bench.cluster.server("cal-a1").unwrap().drain(true),
        Sign::Manifest => {
            let manifest = &mut bench.cluster.manifest;
            manifest.replaces = 1;
            manifest.services[0].upstreams[0].drain = true;
            bench.cluster.publish().await.unwrap();
        }
    }
    bench
        .wait("the server holds nothing", |cluster| {
            cluster.servers["cal-a1"].shards().is_empty()
        })
        .await;
    let left = Instant::now();
    bench.serves().await;
    bench.check(load).await;
    let runs = bench.cluster.record.runs().into_iter();
    for run in runs.filter(|run| &*run.server == "cal-a1") {
        assert!(run.start < left, "new work for a server that left: {run:?}");
        assert_eq!(run.outcome, Outcome::Done, "{run:?}");
    }
}

//! Lost, frozen and draining servers.

use crate::support::Bench;

#[tokio::test(flavor = "multi_thread")]
async fn killed_upstream() {
    let bench = Bench::start().await;
    let load = bench.load();
    bench.cluster.server("cal-a1").unwrap().kill();
    bench.wait_lost("cal-a1").await;
    bench.serves().await;
    bench
        .cluster
        .server("cal-a1")
        .unwrap()
        .restart()
        .await
        .unwrap();
    bench.serves().await;
    bench.check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_upstream_that_wakes_past_its_lease() {
    let bench = Bench::start().await;
    let load = bench.load();
    bench.cluster.server("cal-a1").unwrap().freeze();
    bench.wait_lost("cal-a1").await;
    bench.serves().await;
    bench.cluster.server("cal-a1").unwrap().wake();
    bench.serves().await;
    bench.check(load).await;
}

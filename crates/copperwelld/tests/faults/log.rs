//! The platform's log down, or losing its answers.

use copperwell_operator::status::LogState;

use crate::support::{Bench, GROUP, HERE};

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_while_the_log_is_down() {
    let mut bench = Bench::start().await;
    let load = bench.load();
    let old = bench.leader(GROUP).await;
    bench.lose_log().await;
    let _old = bench.kill(&old);
    bench.new_leader(GROUP, &old).await;
    bench.serves().await;
    bench.regain_log().await;
    bench.serves().await;
    bench.check(load).await;
    assert_eq!(bench.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_lost_while_the_log_is_down() {
    let bench = Bench::start().await;
    let load = bench.load();
    bench.lose_log().await;
    bench.serves().await;
    bench.cluster.server("cal-a1").unwrap().kill();
    bench.wait_lost("cal-a1").await;
    bench.serves().await;
    bench.regain_log().await;
    bench.serves().await;
    bench.check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_and_upstream_killed_while_the_log_is_down() {
    let mut bench = Bench::start().await;
    let load = bench.load();
    let old = bench.leader(GROUP).await;
    bench.lose_log().await;
    bench.cluster.server("cal-a1").unwrap().kill();
    let _old = bench.kill(&old);
    bench.new_leader(GROUP, &old).await;
    // Only the platform can tell that the old leader will not renew what the lost server held.
    bench.cluster.platform.set_down(false);
    bench.cluster.list();
    bench.wait_log(LogState::Current).await;
    bench.wait_lost("cal-a1").await;
    bench.serves().await;
    bench.check(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_appends_while_a_leader_is_killed() {
    let mut bench = Bench::start().await;
    let load = bench.load();
    let old = bench.leader(GROUP).await;
    let appends = bench.cluster.platform.appends();
    bench.cluster.platform.lose_answers(2);
    let _old = bench.kill(&old);
    bench.new_leader(GROUP, &old).await;
    bench
        .wait("the leader's appointment", |cluster| {
            cluster.platform.appends() > appends
        })
        .await;
    bench.cluster.add_node(HERE).await.unwrap();
    bench
        .wait("its standby's appointment", |cluster| {
            cluster.platform.appends() > appends + 1
        })
        .await;
    bench.serves().await;
    bench.wait_log(LogState::Current).await;
    bench.check(load).await;
    assert_eq!(bench.moves(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_that_starts_while_the_platform_is_down() {
    let mut bench = Bench::start().await;
    let load = bench.load();
    bench.lose_log().await;
    bench.cluster.add_node(HERE).await.unwrap();
    let new = bench.cluster.nodes.last().unwrap();
    bench
        .wait_status("the manifest", new, |status| status.manifest == 1)
        .await;
    bench.serves_through(new).await;
    bench.regain_log().await;
    bench.serves().await;
    bench.check(load).await;
    assert_eq!(bench.moves(), []);
}

//! Operators who publish at the same time.

use std::time::Duration;

use copperwell_log::http::Client;
use copperwell_operator::publish::{Accepted, Error, publish};
use tokio::time::Instant;

use crate::support::Bench;

/// Time in which the log must tell what became of a manifest.
const PUBLISH_TIME: Duration = Duration::from_secs(60);

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_operators_wins() {
    let bench = Bench::start().await;
    let load = bench.load();
    let mut one = bench.cluster.manifest.clone();
    one.replaces = 1;
    let mut two = one.clone();
    one.services[0].limits.queue = 65;
    two.services[0].limits.queue = 66;
    let log = Client::new(bench.cluster.platform.address());
    let deadline = Instant::now() + PUBLISH_TIME;
    let both = tokio::join!(
        publish(&log, &one, 1, deadline),
        publish(&log, &two, 1, deadline)
    );
    let (winner, loser) = match both {
        (Ok(Accepted::Now), Err(loser)) => (one, loser),
        (Err(loser), Ok(Accepted::Now)) => (two, loser),
        other => panic!("not exactly one wins: {other:?}"),
    };
    let conflict = Error::Conflict {
        replaces: 1,
        in_force: 2,
    };
    assert_eq!(*loser.current_context(), conflict);
    for node in &bench.cluster.nodes {
        bench
            .wait_status("the winner", node, |status| {
                status.manifest == 2 && status.digest == winner.digest()
            })
            .await;
    }
    bench.serves().await;
    bench.check(load).await;
    assert_eq!(bench.moves(), []);
}

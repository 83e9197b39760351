//! Concurrent publications of manifests.

use std::time::Duration;

use copperwell_log::http::Client;
use copperwell_operator::publish::{Accepted, Error, publish};
use tokio::time::Instant;

use crate::support::Harness;

/// The timeout for learning the outcome of a publication from the log.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(60);

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_operators_wins() {
    let harness = Harness::start().await;
    let load = harness.load();
    let mut one = harness.cluster.manifest.clone();
    one.replaces = 1;
    let mut two = one.clone();
    one.services[0].limits.queue = 65;
    two.services[0].limits.queue = 66;
    let log = Client::new(harness.cluster.platform.address());
    let deadline = Instant::now() + PUBLISH_TIMEOUT;
    let outcomes = tokio::join!(
        publish(&log, &one, 1, deadline),
        publish(&log, &two, 1, deadline)
    );
    let (winner, loser) = match outcomes {
        (Ok(Accepted::Now), Err(loser)) => (one, loser),
        (Err(loser), Ok(Accepted::Now)) => (two, loser),
        other => panic!("expected exactly one winner: {other:?}"),
    };
    let conflict = Error::Conflict {
        replaces: 1,
        in_force: 2,
    };
    assert_eq!(*loser.current_context(), conflict);
    for node in &harness.cluster.nodes {
        harness
            .wait_status("the winner", node, |status| {
                status.manifest == 2 && status.digest == winner.digest()
            })
            .await;
    }
    harness.wait_served().await;
    harness.end_load_and_check(load).await;
    assert_eq!(harness.moves(), []);
}

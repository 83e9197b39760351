//! The store comes back from a copy, and has lost what daemons wrote since.

use std::{process::Stdio, time::Duration};

use crate::{
    crash::remove_leader,
    harness::{CONDITION_TIMEOUT, Daemon, Harness, SERVERS},
};
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// How long the store is away before it comes back.
const AWAY: Duration = Duration::from_millis(700);

/// How long keys are looked at afterwards: longer than any grant lasts.
const LOOK_TIME: Duration = Duration::from_secs(14);

/// How often keys are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(15);

/// When the leader is killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Never,
    /// After the copy, so that the entry of the next leader is lost.
    AfterCopy,
    /// While the store is away, so that nobody knows what was lost.
    WhileAway,
}

/// Returns a key that several servers hold.
fn key_with_two_holders(harness: &Harness) -> Option<u64> {
    let keys = (0..=u64::from(u16::MAX)).step_by(64);
    let holders = |key: &u64| {
        let servers = harness.servers.iter().take(SERVERS);
        servers
            .filter(|server| server.holds(*key).is_some())
            .count()
    };
    keys.into_iter().find(|key| holders(key) > 1)
}

#[test_case(Loss::Never; "the leader lives")]
#[test_case(Loss::AfterCopy; "the leader is lost after the copy")]
#[test_case(Loss::WhileAway; "the leader is lost while the store is away")]
#[tokio::test(flavor = "multi_thread")]
async fn keys_have_two_holders_after_the_store_comes_back_from_a_copy(loss: Loss) {
    let mut harness = Harness::start(3).await;
    harness.wait_served().await;
    let copy = harness.store.copy();
    if loss == Loss::AfterCopy {
        drop(remove_leader(&mut harness).await);
        let daemon = Daemon::start(&harness.store, Stdio::null());
        harness.daemons.push(daemon);
        harness.wait_served().await;
    }
    // The keys of a server move to others, which the copy does not know.
    harness.servers[0].drain();
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while harness.servers[0].keys() > 0 {
        assert!(Instant::now() < deadline, "the keys do not move");
        sleep(Duration::from_millis(20)).await;
    }
    harness.wait_served().await;
    if loss == Loss::WhileAway {
        drop(remove_leader(&mut harness).await);
    }
    harness.store.come_back_from(copy, AWAY).await;
    let end = Instant::now() + LOOK_TIME;
    while Instant::now() < end {
        assert_eq!(key_with_two_holders(&harness), None);
        sleep(LOOK_INTERVAL).await;
    }
    harness.wait_served().await;
}

//! Control orders to a stand-in server.

use crate::setup::{
    EPOCH, LEASE, Orders, SHORT_TIMEOUT, Setup, TEST_TIMEOUT, fence, group, post, post_for,
    wait_until,
};
use copperwell_backend::{
    Client, Control, Failure,
    client::{CONNECTIONS_MAX, Timing},
    order::{Release, digest_of},
};
use copperwell_message::{Body, Verdict};
use copperwell_standin::{backend::Options, proxy::Proxy};
use tokio::time::{Duration, Instant};

fn release(sequence: u64) -> Release {
    Release {
        group: group(),
        epoch: EPOCH,
        sequence,
        shards: vec![0],
    }
}

#[tokio::test]
async fn server_reports_its_grants() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let to = setup.server.address();
    let fence_answer = setup.fence(EPOCH).await;
    let held = setup
        .client
        .renew(to, &fence_answer.renew(EPOCH))
        .await
        .unwrap();
    assert_eq!((held.shards, held.digest), (1, digest_of(0)));
    assert_eq!(Some(held.incarnation), setup.server.incarnation());
    assert!(held.clock_ms >= fence_answer.clock_ms);
    let fenced = setup.fence(EPOCH + 1).await;
    assert_eq!(fenced.grants.len(), 1);
    assert_eq!(fenced.grants[0].epoch, EPOCH);
}

#[tokio::test]
async fn lower_epoch_is_fenced() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let fence_answer = setup.fence(EPOCH + 5).await;
    let to = setup.server.address();
    let Err(Failure::Fenced(refusal)) = setup.client.renew(to, &fence_answer.renew(EPOCH)).await
    else {
        panic!("a renewal with a lower epoch must be rejected as fenced");
    };
    assert_eq!(refusal.epoch, EPOCH + 5);
}

#[tokio::test]
async fn repeated_order_is_accepted_and_an_older_one_is_rejected() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let fence_answer = setup.fence(EPOCH).await;
    let to = setup.server.address();
    let (older, newer) = (
        fence_answer.give(EPOCH, 2, 1),
        fence_answer.give(EPOCH, 3, 2),
    );
    for _ in 0..2 {
        let held = setup.client.give(to, &newer).await.unwrap();
        assert_eq!(held.shards, 2);
    }
    let refused = setup.client.give(to, &older).await;
    assert!(matches!(refused, Err(Failure::Fenced(_))));
}

#[tokio::test]
async fn stopped_server_is_unreachable() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let fence_answer = setup.fence(EPOCH).await;
    setup.server.kill();
    let to = setup.server.address();
    let renewed = setup.client.renew(to, &fence_answer.renew(EPOCH)).await;
    // The idle connection may have accepted the order just before its close was noticed.
    assert!(matches!(
        renewed,
        Err(Failure::Unreachable | Failure::Silent)
    ));
    let renewed = setup.client.renew(to, &fence_answer.renew(EPOCH)).await;
    assert_eq!(renewed, Err(Failure::Unreachable));
}

#[tokio::test]
async fn frozen_server_is_silent() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let fence_answer = setup.fence(EPOCH).await;
    setup.server.freeze();
    let to = setup.server.address();
    let renewed = setup.client.renew(to, &fence_answer.renew(EPOCH)).await;
    assert_eq!(renewed, Err(Failure::Silent));
    setup.server.wake();
    setup
        .client
        .renew(to, &fence_answer.renew(EPOCH))
        .await
        .unwrap();
}

#[tokio::test]
async fn silent_connection_is_replaced_within_one_order() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let proxy = Proxy::start(setup.server.address()).await.unwrap();
    let fence_answer = setup.fence(EPOCH).await;
    let to = proxy.address();
    setup
        .client
        .renew(to, &fence_answer.renew(EPOCH))
        .await
        .unwrap();
    proxy.hush();
    setup
        .client
        .renew(to, &fence_answer.renew(EPOCH))
        .await
        .unwrap();
    assert_eq!(proxy.accepted_connections(), 2);
}

#[tokio::test]
async fn answer_to_the_first_attempt_is_accepted_after_the_second_began() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let proxy = Proxy::start(setup.server.address()).await.unwrap();
    let fence_answer = setup.fence(EPOCH).await;
    let client = Client::with_timing(Timing {
        connect: TEST_TIMEOUT,
        attempt: SHORT_TIMEOUT / 3,
        total: TEST_TIMEOUT,
    });
    proxy.delay(SHORT_TIMEOUT / 2);
    let renewed = client
        .renew(proxy.address(), &fence_answer.renew(EPOCH))
        .await;
    assert_eq!(renewed.unwrap().shards, 1);
    assert_eq!(proxy.accepted_connections(), 2);
}

#[tokio::test]
async fn connections_for_orders_are_bounded() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let fence_answer = setup.fence(EPOCH).await;
    let to = setup.server.address();
    let before = setup.server.counts().connections;
    let renew = fence_answer.renew(EPOCH);
    let mut orders = tokio::task::JoinSet::new();
    let client = std::sync::Arc::new(Client::with_timing(Timing {
        connect: TEST_TIMEOUT,
        attempt: TEST_TIMEOUT,
        total: TEST_TIMEOUT,
    }));
    for _ in 0..50 {
        let (client, renew) = (client.clone(), renew.clone());
        orders.spawn(async move { client.renew(to, &renew).await.unwrap() });
    }
    orders.join_all().await;
    let opened = setup.server.counts().connections - before;
    assert!(opened <= u64::from(CONNECTIONS_MAX));
}

#[tokio::test]
async fn restarted_server_rejects_orders_for_its_earlier_incarnation() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let before = setup.fence(EPOCH).await;
    setup.server.restart().await.unwrap();
    let to = setup.server.address();
    let mut renewed = setup.client.renew(to, &before.renew(EPOCH)).await;
    if renewed == Err(Failure::Silent) {
        // The idle connection may have accepted the order before its close was noticed.
        renewed = setup.client.renew(to, &before.renew(EPOCH)).await;
    }
    let Err(Failure::Fenced(refusal)) = renewed else {
        panic!("a renewal for an earlier incarnation must be rejected");
    };
    assert_ne!(refusal.incarnation, before.incarnation);
    assert!(setup.server.shards().is_empty());
    let fence_answer = setup.fence(EPOCH).await;
    assert!(fence_answer.grants.is_empty());
    let held = setup
        .client
        .give(to, &fence_answer.give(EPOCH, 2, 0))
        .await
        .unwrap();
    assert_eq!(held.shards, 1);
}

/// An order can be delayed on its way. The lease must still end at the server no later than the
/// expiry that the sender set in the order.
#[tokio::test]
async fn delayed_order_does_not_extend_the_lease_beyond_the_senders_expiry() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let proxy = Proxy::start(setup.server.address()).await.unwrap();
    let client = Client::with_timing(Timing {
        attempt: TEST_TIMEOUT,
        total: TEST_TIMEOUT,
        ..Timing::default()
    });
    let to = proxy.address();
    let fence_answer = client.fence(to, &fence(EPOCH)).await.unwrap();
    let fenced_at = Instant::now();
    proxy.delay(SHORT_TIMEOUT);
    client
        .give(to, &fence_answer.give(EPOCH, 2, 1))
        .await
        .unwrap();
    let granted_until = setup.record.holds()[1].until;
    assert!(granted_until <= fenced_at + LEASE);

    let fence_answer = setup.fence(EPOCH).await;
    let fenced_again_at = Instant::now();
    client.renew(to, &fence_answer.renew(EPOCH)).await.unwrap();
    let renewed_until = setup.record.holds()[1].until;
    assert!(granted_until < renewed_until && renewed_until <= fenced_again_at + LEASE);
}

#[tokio::test]
async fn release_is_answered_after_the_last_request_has_ended() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let running = setup.forward(post_for(Duration::from_millis(600)));
    let to = setup.server.address();
    let released = async {
        wait_until(|| setup.server.counts().running == 1).await;
        let order = release(2);
        let mut released = setup.client.release(to, &order).await;
        while released == Err(Failure::Silent) {
            released = setup.client.release(to, &order).await;
        }
        assert_eq!(setup.server.counts().running, 0);
        released.unwrap()
    };
    let (response, held) = tokio::join!(running, released);
    assert_eq!(response.reply.verdict, Verdict::Done);
    assert_eq!(held.shards, 0);
    let run = &setup.record.runs()[0];
    assert!(setup.record.holds()[0].until >= run.end.unwrap());
    let refused = setup.forward(post(&[], Body::empty())).await;
    assert_eq!(refused.reply.verdict, Verdict::NotRun);
}

//! Control orders to a stand-in.

use crate::setup::{EPOCH, LEASE, PATIENCE, SILENCE, Setup, fence, group, post, post_for, until};
use copperwell_backend::{
    Client, Control, Failure,
    client::Timing,
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
async fn server_tells_what_it_holds() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let to = setup.server.address();
    let held = setup
        .client
        .renew(to, &setup.renew_order(EPOCH))
        .await
        .unwrap();
    assert_eq!((held.shards, held.digest), (1, digest_of(0)));
    assert_eq!(Some(held.incarnation), setup.server.incarnation());
    let fenced = setup.client.fence(to, &fence(EPOCH + 1)).await.unwrap();
    assert_eq!(fenced.grants.len(), 1);
    assert_eq!(fenced.grants[0].epoch, EPOCH);
}

#[tokio::test]
async fn lower_epoch_is_fenced() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let to = setup.server.address();
    setup.client.fence(to, &fence(EPOCH + 5)).await.unwrap();
    let Err(Failure::Fenced(refusal)) = setup.client.renew(to, &setup.renew_order(EPOCH)).await
    else {
        panic!("the renewal must be fenced");
    };
    assert_eq!(refusal.epoch, EPOCH + 5);
}

#[tokio::test]
async fn stopped_server_is_unreachable() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    setup.server.kill();
    let renewed = setup
        .client
        .renew(setup.server.address(), &setup.renew_order(EPOCH))
        .await;
    assert!(matches!(
        renewed,
        Err(Failure::Unreachable | Failure::Silent)
    ));
    let renewed = setup
        .client
        .renew(setup.server.address(), &setup.renew_order(EPOCH))
        .await;
    assert_eq!(renewed, Err(Failure::Unreachable));
}

#[tokio::test]
async fn frozen_server_is_silent() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    setup.server.freeze();
    let to = setup.server.address();
    let renewed = setup.client.renew(to, &setup.renew_order(EPOCH)).await;
    assert_eq!(renewed, Err(Failure::Silent));
    setup.server.wake();
    setup
        .client
        .renew(to, &setup.renew_order(EPOCH))
        .await
        .unwrap();
}

#[tokio::test]
async fn silent_connection_is_replaced_within_the_order() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let proxy = Proxy::start(setup.server.address()).await.unwrap();
    let to = proxy.address();
    setup
        .client
        .renew(to, &setup.renew_order(EPOCH))
        .await
        .unwrap();
    proxy.hush();
    setup
        .client
        .renew(to, &setup.renew_order(EPOCH))
        .await
        .unwrap();
    assert_eq!(proxy.accepted_connections(), 2);
}

#[tokio::test]
async fn restarted_server_holds_nothing_and_can_be_granted() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let before = setup.server.incarnation();
    setup.server.restart().await.unwrap();
    let to = setup.server.address();
    // The first order may find its idle connection closed.
    let mut held = setup.client.renew(to, &setup.renew_order(EPOCH)).await;
    if held == Err(Failure::Silent) {
        held = setup.client.renew(to, &setup.renew_order(EPOCH)).await;
    }
    // A renewal that was made for the earlier run prolongs nothing in this one.
    let Err(Failure::Fenced(refusal)) = held else {
        panic!("the renewal must be refused, not {held:?}");
    };
    assert_ne!(Some(refusal.incarnation), before);
    assert_eq!(setup.server.shards().len(), 0);
    setup.own().await;
    assert_eq!(setup.give(EPOCH, 2).await.unwrap().shards, 1);
}

/// Whatever holds an order up, the server's lease ends by what the sender believes.
#[tokio::test]
async fn order_that_comes_late_prolongs_nothing_beyond_its_sending() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let proxy = Proxy::start(setup.server.address()).await.unwrap();
    let client = Client::with_timing(Timing {
        attempt: PATIENCE,
        total: PATIENCE,
        ..Timing::default()
    });
    let to = proxy.address();
    client.fence(to, &fence(EPOCH)).await.unwrap();
    proxy.delay(SILENCE);
    let mut order = setup.give_order(EPOCH, 2);
    order.shards = vec![1];
    let sent = Instant::now();
    client.give(to, &order).await.unwrap();
    let given = setup.record.holds()[1].until;
    assert!(given <= sent + LEASE);

    let sent = Instant::now();
    client.renew(to, &setup.renew_order(EPOCH)).await.unwrap();
    let renewed = setup.record.holds()[1].until;
    assert!(given < renewed && renewed <= sent + LEASE);
}

#[tokio::test]
async fn release_is_answered_when_the_last_request_has_ended() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let running = setup.forward(post_for(Duration::from_millis(600)));
    let to = setup.server.address();
    let released = async {
        until(|| setup.server.counts().running == 1).await;
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

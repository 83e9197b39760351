//! Control orders to a stand-in.

use crate::setup::{
    EPOCH, LEASE, Orders, PATIENCE, SILENCE, Setup, fence, group, post, post_for, until,
};
use copperwell_backend::{
    Client, Control, Failure,
    client::{CONNECTIONS, Timing},
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
    let run = setup.fence(EPOCH).await;
    let held = setup.client.renew(to, &run.renew(EPOCH)).await.unwrap();
    assert_eq!((held.shards, held.digest), (1, digest_of(0)));
    assert_eq!(Some(held.incarnation), setup.server.incarnation());
    assert!(held.clock_ms >= run.clock_ms);
    let fenced = setup.fence(EPOCH + 1).await;
    assert_eq!(fenced.grants.len(), 1);
    assert_eq!(fenced.grants[0].epoch, EPOCH);
}

#[tokio::test]
async fn lower_epoch_is_fenced() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let run = setup.fence(EPOCH + 5).await;
    let to = setup.server.address();
    let Err(Failure::Fenced(refusal)) = setup.client.renew(to, &run.renew(EPOCH)).await else {
        panic!("the renewal must be fenced");
    };
    assert_eq!(refusal.epoch, EPOCH + 5);
}

#[tokio::test]
async fn order_that_comes_again_is_answered_and_an_older_one_is_not() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let run = setup.fence(EPOCH).await;
    let to = setup.server.address();
    let (older, newer) = (run.give(EPOCH, 2, 1), run.give(EPOCH, 3, 2));
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
    let run = setup.fence(EPOCH).await;
    setup.server.kill();
    let to = setup.server.address();
    let renewed = setup.client.renew(to, &run.renew(EPOCH)).await;
    // The idle connection may have taken the order just before it was seen to be closed.
    assert!(matches!(
        renewed,
        Err(Failure::Unreachable | Failure::Silent)
    ));
    let renewed = setup.client.renew(to, &run.renew(EPOCH)).await;
    assert_eq!(renewed, Err(Failure::Unreachable));
}

#[tokio::test]
async fn frozen_server_is_silent() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let run = setup.fence(EPOCH).await;
    setup.server.freeze();
    let to = setup.server.address();
    let renewed = setup.client.renew(to, &run.renew(EPOCH)).await;
    assert_eq!(renewed, Err(Failure::Silent));
    setup.server.wake();
    setup.client.renew(to, &run.renew(EPOCH)).await.unwrap();
}

#[tokio::test]
async fn silent_connection_is_replaced_within_the_order() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let proxy = Proxy::start(setup.server.address()).await.unwrap();
    let run = setup.fence(EPOCH).await;
    let to = proxy.address();
    setup.client.renew(to, &run.renew(EPOCH)).await.unwrap();
    proxy.hush();
    setup.client.renew(to, &run.renew(EPOCH)).await.unwrap();
    assert_eq!(proxy.accepted_connections(), 2);
}

#[tokio::test]
async fn answer_that_comes_after_the_second_attempt_counts() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let proxy = Proxy::start(setup.server.address()).await.unwrap();
    let run = setup.fence(EPOCH).await;
    let client = Client::with_timing(Timing {
        connect: PATIENCE,
        attempt: SILENCE / 3,
        total: PATIENCE,
    });
    proxy.delay(SILENCE / 2);
    let renewed = client.renew(proxy.address(), &run.renew(EPOCH)).await;
    assert_eq!(renewed.unwrap().shards, 1);
    assert_eq!(proxy.accepted_connections(), 2);
}

#[tokio::test]
async fn connections_for_orders_are_bounded() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let run = setup.fence(EPOCH).await;
    let to = setup.server.address();
    let before = setup.server.counts().connections;
    let renew = run.renew(EPOCH);
    let mut orders = tokio::task::JoinSet::new();
    let client = std::sync::Arc::new(Client::with_timing(Timing {
        connect: PATIENCE,
        attempt: PATIENCE,
        total: PATIENCE,
    }));
    for _ in 0..50 {
        let (client, renew) = (client.clone(), renew.clone());
        orders.spawn(async move { client.renew(to, &renew).await.unwrap() });
    }
    orders.join_all().await;
    let opened = setup.server.counts().connections - before;
    assert!(opened <= u64::from(CONNECTIONS));
}

#[tokio::test]
async fn restarted_server_refuses_orders_for_its_earlier_run() {
    let setup = Setup::new(Options::new("upstream-1")).await;
    let before = setup.fence(EPOCH).await;
    setup.server.restart().await.unwrap();
    let to = setup.server.address();
    let mut renewed = setup.client.renew(to, &before.renew(EPOCH)).await;
    if renewed == Err(Failure::Silent) {
        // The idle connection may have taken the order before it was seen to be closed.
        renewed = setup.client.renew(to, &before.renew(EPOCH)).await;
    }
    let Err(Failure::Fenced(refusal)) = renewed else {
        panic!("the renewal is for another run");
    };
    assert_ne!(refusal.incarnation, before.incarnation);
    assert!(setup.server.shards().is_empty());
    let run = setup.fence(EPOCH).await;
    assert!(run.grants.is_empty());
    let held = setup.client.give(to, &run.give(EPOCH, 2, 0)).await.unwrap();
    assert_eq!(held.shards, 1);
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
    let run = client.fence(to, &fence(EPOCH)).await.unwrap();
    let known = Instant::now();
    proxy.delay(SILENCE);
    client.give(to, &run.give(EPOCH, 2, 1)).await.unwrap();
    let given = setup.record.holds()[1].until;
    assert!(given <= known + LEASE);

    let run = setup.fence(EPOCH).await;
    let known = Instant::now();
    client.renew(to, &run.renew(EPOCH)).await.unwrap();
    let renewed = setup.record.holds()[1].until;
    assert!(given < renewed && renewed <= known + LEASE);
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

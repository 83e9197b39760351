//! Follower and appender against the stand-in platform.

use std::sync::Arc;

use copperwell_keyspace::{
    manifest::{DataCentre, Fencing, Limits, Manifest, OnIsolation, Service, Upstream},
    record::{Body, STREAM},
    replay::Outcome,
};
use copperwell_message::Class;
use copperwell_platform::{
    NoRelay,
    append::Appender,
    follow::{Follower, Source},
    http::Client,
};
use copperwell_standin::platform::Platform;

fn manifest(replaces: u64) -> Manifest {
    Manifest {
        replaces,
        data_centres: vec![DataCentre {
            name: "north".into(),
            region: "ro".into(),
        }],
        services: vec![Service {
            name: "calendar".into(),
            class: Class::Interactive,
            shards: 16,
            on_isolation: OnIsolation::Keep,
            lease: std::time::Duration::from_millis(1500),
            limits: Limits::default(),
            upstreams: vec![Upstream {
                part: 0,
                name: "one".into(),
                data_centre: "north".into(),
                address: "127.0.0.1:1".parse().expect("an address"),
                slots: 2,
                connections: 130,
                fencing: Fencing::Checked,
                drain: false,
            }],
        }],
    }
}

struct Writer {
    follower: Follower,
    appender: Appender<Client>,
}

fn writer(platform: &Platform, name: &str) -> Writer {
    let log = Arc::new(Client::new(platform.address()));
    let follower = Follower::start(log.clone(), Arc::new(NoRelay), Source::Platform);
    let appender = Appender::new(log, follower.view(), name, 1);
    Writer { follower, appender }
}

#[tokio::test]
async fn the_first_manifest_wins_for_both_writers() {
    let platform = Platform::start().await;
    let mut one = writer(&platform, "one");
    let mut two = writer(&platform, "two");
    let body = Body::Manifest(manifest(0));
    let (first, second) =
        tokio::join!(one.appender.append(body.clone()), two.appender.append(body));
    let mut outcomes = [first.expect("read back"), second.expect("read back")];
    outcomes.sort_by_key(|outcome| *outcome != Outcome::Applied);
    assert_eq!(outcomes, [Outcome::Applied, Outcome::Void]);
    for mut view in [one.follower.view(), two.follower.view()] {
        let seen = view.wait_for(|view| view.next == 2).await.expect("a view");
        assert_eq!(seen.state.manifest, Some(manifest(0)));
    }
}

#[tokio::test]
async fn a_lost_answer_counts_once() {
    let platform = Platform::start().await;
    let mut one = writer(&platform, "one");
    platform.lose_answers(1);
    let outcome = one.appender.append(Body::Manifest(manifest(0))).await;
    assert_eq!(outcome.expect("read back"), Outcome::Applied);
    let outcome = one.appender.append(Body::Manifest(manifest(1))).await;
    assert_eq!(outcome.expect("read back"), Outcome::Applied);
    assert!(platform.records(STREAM).len() >= 2);
}

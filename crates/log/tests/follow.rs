//! Tests follower and appender against the stand-in platform.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use copperwell_keyspace::{
    id::LogOffset,
    manifest::{DataCentre, Fencing, Limits, Manifest, OnIsolation, Service, Upstream},
    record::{Body, STREAM, Snapshot},
    replay::Outcome,
};
use copperwell_log::{
    Batch, Error, Log, NoRelay, Relay, Vm, VmList, VmState,
    append::Appender,
    follow::{Follower, Held, Settings, Source, Status, View},
    http::Client,
    metrics::Metrics,
};
use copperwell_message::Class;
use copperwell_standin::platform::Platform;
use error_stack::Report;
use test_case::test_case;
use tokio::sync::watch;

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
            lease: Duration::from_millis(1500),
            limits: Limits::default(),
            upstreams: vec![Upstream {
                name: "one".into(),
                data_centre: "north".into(),
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                slots: 2,
                connections: 130,
                fencing: Fencing::Checked,
                drain: false,
                part: 0,
            }],
        }],
    }
}

struct Writer {
    follower: Follower,
    appender: Appender<Client>,
}

fn writer(platform: &Platform, name: &str) -> Writer {
    writer_with(platform, name, NoRelay, Settings::new(Source::Platform))
}

fn writer_with(platform: &Platform, name: &str, relay: impl Relay, settings: Settings) -> Writer {
    let log = Arc::new(Client::new(platform.address()));
    let settings = settings.with_writer(name);
    let follower = Follower::start_with(log.clone(), Arc::new(relay), settings, Metrics::default());
    let appender = Appender::new(log, follower.view(), name, 1);
    Writer { follower, appender }
}

impl Writer {
    async fn publish(&mut self, replaces: u64) -> Outcome {
        let body = Body::Manifest(manifest(replaces));
        self.appender
            .append(body)
            .await
            .expect("the record is read back")
    }

    async fn until(&self, condition: impl Fn(&View) -> bool) -> Arc<View> {
        let mut view = self.follower.view();
        let seen = view.wait_for(|view| condition(view)).await;
        seen.expect("the follower is running").clone()
    }
}

/// A peer in the same process.
struct Peer(Held);

impl Relay for Peer {
    async fn records(&self, from: LogOffset, wait: Duration) -> Result<Batch, Report<Error>> {
        self.0.records(from, wait).await
    }

    async fn snapshot(&self) -> Result<Snapshot, Report<Error>> {
        self.0.snapshot()
    }
}

#[tokio::test]
async fn the_first_manifest_wins_for_both_writers() {
    let platform = Platform::start().await;
    let mut one = writer(&platform, "one");
    let mut two = writer(&platform, "two");
    let (first, second) = tokio::join!(one.publish(0), two.publish(0));
    let mut outcomes = [first, second];
    outcomes.sort_by_key(|outcome| *outcome != Outcome::Applied);
    assert_eq!(outcomes, [Outcome::Applied, Outcome::Void]);
    for writer in [&one, &two] {
        let seen = writer.until(|view| view.next == 2).await;
        assert_eq!(seen.state.manifest.as_deref(), Some(&manifest(0)));
    }
}

#[tokio::test]
async fn a_record_with_a_lost_response_is_applied_once() {
    let platform = Platform::start().await;
    let mut one = writer(&platform, "one");
    platform.lose_answers(1);
    assert_eq!(one.publish(0).await, Outcome::Applied);
    assert_eq!(one.publish(1).await, Outcome::Applied);
    assert_eq!(one.follower.view().borrow().state.version(), 2);
}

#[test_case(|platform| platform.lose_answers(1), Error::MaybeAppended; "lost response")]
#[test_case(|platform| platform.set_down(true), Error::MaybeAppended; "closed connection")]
#[test_case(|platform| platform.set_delay(Duration::from_secs(60)), Error::MaybeAppended; "no response")]
#[test_case(|platform| platform.stop(), Error::NotAppended; "no listener")]
#[tokio::test]
async fn a_failed_append_reports_whether_the_record_may_be_in_the_log(
    fault: fn(&Platform),
    expected: Error,
) {
    let platform = Platform::start().await;
    let log = Client::new(platform.address()).with_timeout(Duration::from_millis(200));
    fault(&platform);
    platform.stopped().await;
    let report = log
        .append(STREAM, vec![1])
        .await
        .expect_err("the append fails");
    assert_eq!(*report.current_context(), expected);
}

#[tokio::test]
async fn an_outage_is_reported_until_it_ends() {
    let platform = Platform::start().await;
    let mut one = writer(&platform, "one");
    one.publish(0).await;
    platform.set_down(true);
    one.until(|view| matches!(view.status, Status::Away(_)))
        .await;
    platform.set_down(false);
    let view = one.until(|view| view.status == Status::Current).await;
    assert_eq!(view.state.version(), 1);
    assert_eq!(one.publish(1).await, Outcome::Applied);
}

#[tokio::test]
async fn a_log_that_lost_all_records_recovers_the_manifest() {
    let platform = Platform::start().await;
    let mut one = writer(&platform, "one");
    one.publish(0).await;
    one.publish(1).await;
    platform.reset_log();
    one.until(|view| view.status == Status::Restarted).await;
    let view = one.until(|view| view.state.generation == 1).await;
    assert_eq!(view.state.version(), 2);
    let mut two = writer(&platform, "two");
    two.until(|view| view.state.version() == 2).await;
    assert_eq!(two.publish(0).await, Outcome::Void);
    assert_eq!(two.publish(2).await, Outcome::Applied);
    one.until(|view| view.state.version() == 3).await;
}

#[tokio::test]
async fn a_late_reader_gets_a_snapshot_if_retention_removed_the_manifest() {
    let platform = Platform::start().await;
    let settings =
        Settings::new(Source::Platform).with_checkpoint_interval(Duration::from_millis(50));
    let mut one = writer_with(&platform, "one", NoRelay, settings);
    one.publish(0).await;
    let mut view = one.follower.view();
    view.wait_for(|view| view.next > 1)
        .await
        .expect("a snapshot is appended");
    platform.set_retention(1);
    let late = writer(&platform, "late");
    let view = late.until(|view| view.state.version() == 1).await;
    assert_eq!(view.status, Status::Current);
}

#[tokio::test]
async fn a_follower_that_starts_during_an_outage_adopts_a_peers_state() {
    let platform = Platform::start().await;
    let mut one = writer(&platform, "one");
    one.publish(0).await;
    platform.set_down(true);
    let peer = Peer(one.follower.held());
    let late = writer_with(&platform, "late", peer, Settings::new(Source::Platform));
    late.until(|view| view.state.version() == 1).await;
}

#[tokio::test]
async fn a_follower_of_a_peer_works_without_the_platform() {
    let platform = Platform::start().await;
    let mut one = writer(&platform, "one");
    let unreachable = Platform::start().await;
    unreachable.set_down(true);
    let peer = Peer(one.follower.held());
    let other = writer_with(&unreachable, "other", peer, Settings::new(Source::Peer));
    for version in 0..3 {
        assert_eq!(one.publish(version).await, Outcome::Applied);
    }
    let view = other.until(|view| view.state.version() == 3).await;
    assert!(view.state.agrees_with(&one.follower.view().borrow().state));
}

#[tokio::test]
async fn the_list_of_vms_lags() {
    let platform = Platform::start().await;
    let client = Client::new(platform.address());
    let vm = |state| Vm {
        name: "one".into(),
        data_centre: "north".into(),
        state,
        control: SocketAddr::from(([127, 0, 0, 1], 1)),
    };
    platform.set_vms(vec![vm(VmState::Live)]);
    platform.set_vm_lag(Duration::from_secs(3600));
    platform.set_vms(vec![vm(VmState::Leaving)]);
    let list = client.list().await.expect("the platform lists its VMs");
    assert_eq!(list, [vm(VmState::Live)]);
}

#[tokio::test]
async fn an_append_fails_if_the_follower_has_stopped() {
    let platform = Platform::start().await;
    let log = Arc::new(Client::new(platform.address()));
    let (sender, view) = watch::channel(
        Follower::start(log.clone(), Arc::new(NoRelay), Source::Platform)
            .view()
            .borrow()
            .clone(),
    );
    let mut appender = Appender::new(log, view, "one", 1);
    drop(sender);
    let report = appender.append(Body::Manifest(manifest(0))).await;
    assert_eq!(
        *report
            .expect_err("the follower has stopped")
            .current_context(),
        Error::Unavailable
    );
}

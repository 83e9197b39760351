use std::{sync::Arc, time::Duration};

use super::{CrashTracker, Send};
use copperwell_assignment::quarantine::SharedQuarantine;
use copperwell_routing::{
    Incarnation,
    quarantine::Fingerprint,
    registry::{Changes, Upstream},
};
use test_case::test_case;
use tokio::{
    net::TcpListener,
    time::{advance, sleep},
};

const REQUEST: Fingerprint = 7;

/// The incarnation to which requests are sent.
const BORN: Incarnation = 10;

fn tracker() -> Arc<CrashTracker> {
    Arc::new(CrashTracker::new(Arc::new(SharedQuarantine::default())))
}

fn upstream(port: u16, born: Incarnation) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: "a".into(),
        born,
        service: "pay".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "here".into(),
        slots: 2,
        is_draining: false,
        warmup: Duration::ZERO,
    })
}

fn removed() -> Changes {
    Changes {
        gone: vec![upstream(1, BORN)],
        ..Changes::default()
    }
}

fn listed(born: Incarnation) -> Changes {
    Changes {
        joined: vec![upstream(1, born)],
        ..Changes::default()
    }
}

#[test_case(Send::connection_lost, removed(), true; "lost, and the upstream is removed")]
#[test_case(Send::connection_lost, listed(BORN + 1), true; "lost, and the upstream is listed anew")]
#[test_case(Send::connection_lost, listed(BORN), false; "lost, and the upstream is listed again")]
#[test_case(drop, removed(), true; "without an answer, and the upstream is removed")]
#[test_case(drop, listed(BORN + 1), true; "without an answer, and the upstream is listed anew")]
#[test_case(Send::answered, removed(), false; "answered, and the upstream is removed")]
#[test_case(Send::failed, removed(), false; "failed, and the upstream is removed")]
#[test_case(Send::not_run, removed(), false; "not run, and the upstream is removed")]
#[tokio::test(start_paused = true)]
async fn crash_that_the_registry_shows_is_missed(end: fn(Send), changes: Changes, expected: bool) {
    let lost_first = tracker();
    end(lost_first.start(&upstream(1, BORN), REQUEST.into()));
    lost_first.record_changes(&changes);
    assert_eq!(lost_first.is_suspect(REQUEST), expected);
    let ended_first = tracker();
    let send = ended_first.start(&upstream(1, BORN), REQUEST.into());
    ended_first.record_changes(&changes);
    end(send);
    assert_eq!(ended_first.is_suspect(REQUEST), expected);
}

#[test_case(removed(), 3, false; "removed, though it may live")]
#[test_case(listed(BORN + 1), 3, true; "listed anew")]
#[test_case(listed(BORN + 1), 1, false; "listed anew, and may have been back before")]
#[tokio::test(start_paused = true)]
async fn request_that_hangs_at_an_ended_upstream_is_not_suspected(
    changes: Changes,
    seconds: u64,
    expected: bool,
) {
    let tracker = tracker();
    let _send = tracker.start(&upstream(1, BORN), REQUEST.into());
    advance(Duration::from_secs(seconds)).await;
    tracker.record_changes(&changes);
    assert_eq!(tracker.is_suspect(REQUEST), expected);
}

#[test_case(Send::answered, false; "by an answer")]
#[test_case(Send::failed, true; "by a failure")]
#[test_case(Send::not_run, true; "by a refusal")]
#[tokio::test(start_paused = true)]
async fn suspect_is_cleared_by_mistake(end: fn(Send), expected: bool) {
    let tracker = tracker();
    drop(tracker.start(&upstream(1, BORN), REQUEST.into()));
    tracker.record_changes(&removed());
    advance(Duration::from_millis(1)).await;
    end(tracker.start(&upstream(1, BORN + 1), REQUEST.into()));
    assert_eq!(tracker.is_suspect(REQUEST), expected);
}

#[tokio::test(start_paused = true)]
async fn loss_long_before_the_end_of_an_upstream_is_taken_for_its_crash() {
    let tracker = tracker();
    drop(tracker.start(&upstream(1, BORN), REQUEST.into()));
    advance(Duration::from_secs(11)).await;
    tracker.record_changes(&removed());
    assert!(!tracker.is_suspect(REQUEST));
    tracker.maintain();
    assert!(
        tracker.upstreams().contains_key("a"),
        "the end is remembered"
    );
    advance(Duration::from_secs(11)).await;
    tracker.maintain();
    assert!(tracker.upstreams().is_empty());
}

/// The registration of an upstream that has lost its way to the store expires.
#[tokio::test(start_paused = true)]
async fn upstream_that_is_listed_again_counts_as_ended() {
    let tracker = tracker();
    drop(tracker.start(&upstream(1, BORN), 1.into()));
    tracker.record_changes(&removed());
    tracker.record_changes(&listed(BORN));
    drop(tracker.start(&upstream(1, BORN), REQUEST.into()));
    assert!(!tracker.is_suspect(REQUEST));
}

/// Nothing else is sent to the upstream, so that only a probe can show whether it has ended.
#[test_case(false, true; "refuses connections")]
#[test_case(true, false; "accepts connections")]
#[tokio::test]
async fn upstream_is_found_to_have_ended(is_listening: bool, expected: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let port = listener.local_addr().unwrap().port();
    let listener = is_listening.then_some(listener);
    let tracker = tracker();
    let upstream = upstream(port, BORN);
    tracker.start(&upstream, REQUEST.into()).connection_lost();
    while tracker.upstreams()["a"].is_probed {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(tracker.is_suspect(REQUEST), expected);
    drop(listener);
}

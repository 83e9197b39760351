//! Tests of requests that are not repeatable and of requests that crash servers.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use crate::support::{
    Action, Harness, SERVICE, body_text, id_created_at, ms, new_id, once_request, request, stream,
    verdict_and_reason, wall_time,
};
use copperwell_dispatch::table::Route;
use copperwell_keyspace::{ServiceName, manifest::Upstream};
use copperwell_message::{Reason, Repeat, Request, Verdict};
use test_case::test_case;
use tokio::{
    task::yield_now,
    time::{advance, sleep},
};
use uuid::Uuid;

/// Longer than the period after a shard's first grant in which new keys still count as unknown.
const UNKNOWN_KEYS_PERIOD: Duration = Duration::from_secs(2);

/// Creates an engine that has led its shards for long enough to accept new keys.
async fn harness(
    script: impl Fn(&Upstream, &Request) -> Action + Send + Sync + 'static,
) -> Harness {
    let harness = Harness::new(script);
    harness.serve(once_request("/first", new_id())).await;
    advance(UNKNOWN_KEYS_PERIOD).await;
    harness
}

#[tokio::test(start_paused = true)]
async fn a_resend_gets_the_recorded_answer() {
    let harness = harness(|_, _| Action::Answer(ms(5), "paid")).await;
    let id = new_id();
    for _ in 0..3 {
        let response = harness.serve(once_request("/payout", id)).await;
        assert_eq!(verdict_and_reason(&response), (Verdict::Done, None));
        assert_eq!(body_text(response).await, "paid");
    }
    assert_eq!(harness.backend.count("/payout"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_resend_of_a_request_with_a_long_answer_gets_done_without_the_answer() {
    let harness = harness(|_, _| Action::LongAnswer(1 << 20)).await;
    let id = new_id();
    let first = harness.serve(once_request("/payout", id)).await;
    assert_eq!(first.body.collect(2 << 20).await.unwrap().len(), 1 << 20);
    let resend = harness.serve(once_request("/payout", id)).await;
    assert_eq!(
        (resend.reply.status, verdict_and_reason(&resend)),
        (410, (Verdict::Done, None))
    );
    let not_kept = ("copperwell-body".to_owned(), b"not-kept".to_vec());
    assert!(resend.reply.headers.contains(&not_kept));
    assert_eq!(harness.backend.count("/payout"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_resend_joins_the_request_in_flight() {
    let harness = harness(|_, _| Action::Answer(ms(500), "paid")).await;
    let id = new_id();
    let first = harness.spawn(once_request("/payout", id));
    sleep(ms(100)).await;
    let second = harness.spawn(once_request("/payout", id));
    for served in [first, second] {
        assert_eq!(body_text(served.await.unwrap()).await, "paid");
    }
    assert_eq!(harness.backend.count("/payout"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_resend_runs_if_the_request_that_it_joined_did_not() {
    let harness = harness(|_, request| match request.head.path.as_str() {
        "/payout" => Action::Fail(ms(100), Verdict::NotRun, Reason::TooLarge),
        _ => Action::Answer(ms(1), ""),
    })
    .await;
    let id = new_id();
    let first = harness.spawn(once_request("/payout", id));
    sleep(ms(50)).await;
    let second = harness.spawn(once_request("/payout", id));
    for served in [first, second] {
        assert_eq!(served.await.unwrap().reply.verdict, Verdict::NotRun);
    }
    assert_eq!(harness.backend.count("/payout"), 2);
}

#[tokio::test(start_paused = true)]
async fn a_joined_resend_may_have_run_after_a_change_of_leader() {
    let harness = harness(|_, _| Action::Answer(ms(500), "paid")).await;
    let id = new_id();
    let first = harness.spawn(once_request("/payout", id));
    sleep(ms(100)).await;
    let second = harness.spawn(once_request("/payout", id));
    sleep(ms(100)).await;
    harness.table.set(SERVICE, 0, Route::Elsewhere);
    let exported = harness.engine.window_export(&SERVICE.into(), 10, &[0]);
    assert_eq!(exported.unwrap().entries.len(), 1);
    assert_eq!(
        verdict_and_reason(&first.await.unwrap()),
        (Verdict::Done, None)
    );
    let unknown = (Verdict::MayHaveRun, Some(Reason::NotLeader));
    assert_eq!(verdict_and_reason(&second.await.unwrap()), unknown);
}

#[tokio::test(start_paused = true)]
async fn a_resend_after_a_disconnect_gets_the_outcome() {
    let harness = harness(|_, _| Action::Answer(ms(500), "paid")).await;
    let id = new_id();
    let first = harness.spawn(once_request("/payout", id));
    sleep(ms(100)).await;
    first.abort();
    let resend = harness.serve(once_request("/payout", id)).await;
    assert_eq!(body_text(resend).await, "paid");
    assert_eq!(harness.backend.count("/payout"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_disconnect_before_the_send_leaves_no_entry() {
    let harness = harness(|_, _| Action::Answer(ms(500), "paid")).await;
    harness.table.set(SERVICE, 0, Route::Pending);
    let id = new_id();
    let first = harness.spawn(once_request("/payout", id));
    sleep(ms(100)).await;
    first.abort();
    yield_now().await;
    harness.set_owner(0, "a", 10, 1);
    sleep(ms(1000)).await;
    assert_eq!(harness.backend.count("/payout"), 0);
    let resend = harness.serve(once_request("/payout", id)).await;
    assert_eq!(verdict_and_reason(&resend), (Verdict::Done, None));
}

#[test_case(Verdict::NotRun, Reason::Shed, Verdict::Done, 2; "not run may run again")]
#[test_case(Verdict::MayHaveRun, Reason::ConnectionLost, Verdict::MayHaveRun, 1; "lost")]
#[test_case(Verdict::MayHaveRun, Reason::ConnectionSilent, Verdict::MayHaveRun, 1; "silent")]
#[tokio::test(start_paused = true)]
async fn the_first_verdict_decides_the_resend(
    verdict: Verdict,
    reason: Reason,
    resent: Verdict,
    runs: usize,
) {
    let attempts = AtomicU32::new(0);
    let harness = harness(move |_, request| match request.head.path.as_str() {
        "/payout" if attempts.fetch_add(1, Ordering::SeqCst) == 0 => {
            Action::Fail(ms(1), verdict, reason)
        }
        _ => Action::Answer(ms(1), "paid"),
    })
    .await;
    let id = new_id();
    let first = harness.serve(once_request("/payout", id)).await;
    assert_eq!(verdict_and_reason(&first), (verdict, Some(reason)));
    let second = harness.serve(once_request("/payout", id)).await;
    assert_eq!(second.reply.verdict, resent);
    assert_eq!(harness.backend.count("/payout"), runs);
}

#[tokio::test(start_paused = true)]
async fn a_request_with_a_truncated_answer_may_have_run() {
    let (sender, action) = stream();
    let action = Mutex::new(Some(action));
    let harness = harness(move |_, request| match request.head.path.as_str() {
        "/payout" => action.lock().unwrap().take().unwrap(),
        _ => Action::Answer(ms(1), ""),
    })
    .await;
    let id = new_id();
    let first = harness.spawn(once_request("/payout", id));
    sender.send("half").await.unwrap();
    drop(sender);
    assert!(first.await.unwrap().body.collect(1024).await.is_err());
    let resend = harness.serve(once_request("/payout", id)).await;
    assert_eq!(
        verdict_and_reason(&resend),
        (Verdict::MayHaveRun, Some(Reason::ConnectionLost))
    );
}

#[test_case(14; "under another epoch")]
#[test_case(10; "after the shard had moved away and back")]
#[tokio::test(start_paused = true)]
async fn without_an_import_older_keys_may_have_run(epoch: u64) {
    let harness = harness(|_, _| Action::Answer(ms(1), "paid")).await;
    let id = new_id();
    harness.table.set(SERVICE, 0, Route::Elsewhere);
    sleep(ms(100)).await;
    harness.set_owner(0, "a", epoch, 1);
    let old = harness.serve(once_request("/payout", id)).await;
    let unknown = (Verdict::MayHaveRun, Some(Reason::IdempotencyKeyUnknown));
    assert_eq!(verdict_and_reason(&old), unknown);
    advance(UNKNOWN_KEYS_PERIOD).await;
    let new = harness.serve(once_request("/payout", new_id())).await;
    assert_eq!(verdict_and_reason(&new), (Verdict::Done, None));
}

#[tokio::test(start_paused = true)]
async fn new_keys_run_on_a_shard_without_keys_here_and_at_the_next_leader() {
    let predecessor = harness(|_, _| Action::Answer(ms(1), "paid")).await;
    let successor = Harness::new(|_, _| Action::Answer(ms(1), "paid"));
    let once_request_for = |shard| {
        let mut request = once_request("/payout", new_id());
        request.head.shard = shard;
        request
    };
    assert_eq!(
        verdict_and_reason(&predecessor.serve(once_request_for(1)).await),
        (Verdict::Done, None)
    );
    for harness in [&predecessor, &successor] {
        harness.table.set(SERVICE, 2, Route::Elsewhere);
    }
    let export = predecessor.engine.window_export(&SERVICE.into(), 10, &[2]);
    successor.engine.window_import(export.unwrap());
    successor.set_owner(2, "a", 11, 1);
    assert_eq!(
        verdict_and_reason(&successor.serve(once_request_for(2)).await),
        (Verdict::Done, None)
    );
}

#[tokio::test(start_paused = true)]
async fn a_shard_that_was_never_granted_is_not_exported() {
    let predecessor = harness(|_, _| Action::Answer(ms(1), "paid")).await;
    predecessor.serve(once_request("/payout", new_id())).await;
    predecessor.table.set(SERVICE, 0, Route::Elsewhere);
    predecessor.table.set(SERVICE, 0, Route::Pending);
    predecessor.table.set(SERVICE, 0, Route::Elsewhere);
    let export = predecessor.engine.window_export(&SERVICE.into(), 12, &[0]);
    assert!(export.unwrap().shards.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_request_that_waits_during_a_handover_is_left_to_the_next_leader() {
    let harness = harness(|_, _| Action::Answer(ms(1), "paid")).await;
    harness.table.set(SERVICE, 0, Route::Pending);
    let waiting = harness.spawn(once_request("/payout", new_id()));
    sleep(ms(10)).await;
    harness.table.set(SERVICE, 0, Route::Elsewhere);
    let export = harness.engine.window_export(&SERVICE.into(), 10, &[0]);
    assert!(export.unwrap().entries.is_empty(), "it has not been sent");
    // Ingress resends the request to the next leader, for which the key is new.
    let elsewhere = (Verdict::NotRun, Some(Reason::NotLeader));
    assert_eq!(verdict_and_reason(&waiting.await.unwrap()), elsewhere);
}

#[tokio::test(start_paused = true)]
async fn keys_created_before_the_first_grant_are_unknown() {
    let harness = harness(|_, _| Action::Answer(ms(1), "paid")).await;
    harness.table.set(SERVICE, 0, Route::Elsewhere);
    harness.table.set(SERVICE, 0, Route::Pending);
    let early = harness.spawn(once_request("/early", new_id()));
    sleep(UNKNOWN_KEYS_PERIOD).await;
    // The previous leader is not fenced yet, so it may still run a key that is created now.
    let id = new_id();
    sleep(ms(10)).await;
    harness.set_owner(0, "a", 14, 1);
    let unknown = (Verdict::MayHaveRun, Some(Reason::IdempotencyKeyUnknown));
    let late = harness.serve(once_request("/payout", id)).await;
    assert_eq!(verdict_and_reason(&late), unknown);
    assert_eq!(verdict_and_reason(&early.await.unwrap()), unknown);
}

#[tokio::test(start_paused = true)]
async fn a_request_without_an_owner_may_have_run_under_the_previous_leader() {
    let harness = harness(|_, _| Action::Answer(ms(1), "paid")).await;
    harness.table.set(SERVICE, 0, Route::Unowned);
    let same_leader = harness.serve(once_request("/payout", new_id())).await;
    assert_eq!(
        verdict_and_reason(&same_leader),
        (Verdict::NotRun, Some(Reason::Unowned))
    );
    harness.table.set(SERVICE, 0, Route::Elsewhere);
    harness.table.set(SERVICE, 0, Route::Unowned);
    let new_leader = harness.serve(once_request("/payout", new_id())).await;
    assert_eq!(
        verdict_and_reason(&new_leader),
        (Verdict::MayHaveRun, Some(Reason::Unowned))
    );
}

#[tokio::test(start_paused = true)]
async fn a_planned_handover_transfers_the_window() {
    let predecessor = harness(|_, _| Action::Answer(ms(1), "paid")).await;
    let successor = Harness::new(|_, _| Action::Answer(ms(1), "twice"));
    let id = new_id();
    predecessor.serve(once_request("/payout", id)).await;
    predecessor.table.set(SERVICE, 0, Route::Elsewhere);
    successor.table.set(SERVICE, 0, Route::Elsewhere);
    let service: ServiceName = SERVICE.into();
    let export = predecessor
        .engine
        .window_export(&service, 10, &[0])
        .unwrap();
    successor.engine.window_import(export);
    successor.set_owner(0, "a", 11, 1);
    let resend = successor.serve(once_request("/payout", id)).await;
    assert_eq!(body_text(resend).await, "paid");
    let fresh = successor.serve(once_request("/payout", new_id())).await;
    assert_eq!(body_text(fresh).await, "twice");
}

#[test_case(id_created_at(wall_time() + Duration::from_secs(5)), Verdict::NotRun, Reason::IdempotencyKeyInvalid; "from the future")]
#[test_case(id_created_at(wall_time() - Duration::from_hours(1)), Verdict::MayHaveRun, Reason::IdempotencyKeyExpired; "too old")]
#[test_case(Uuid::new_v4(), Verdict::NotRun, Reason::IdempotencyKeyInvalid; "not a version 7")]
#[tokio::test(start_paused = true)]
async fn an_invalid_or_expired_key_is_refused(id: Uuid, verdict: Verdict, reason: Reason) {
    let harness = harness(|_, _| Action::Answer(ms(1), "paid")).await;
    let response = harness.serve(once_request("/payout", id)).await;
    assert_eq!(verdict_and_reason(&response), (verdict, Some(reason)));
    assert_eq!(harness.backend.count("/payout"), 0);
}

#[tokio::test(start_paused = true)]
async fn a_key_reused_for_another_request_is_refused() {
    let harness = harness(|_, _| Action::Answer(ms(1), "paid")).await;
    let id = new_id();
    harness.serve(once_request("/payout", id)).await;
    let other = harness.serve(once_request("/other", id)).await;
    let reused = (Verdict::NotRun, Some(Reason::IdempotencyKeyReused));
    assert_eq!(verdict_and_reason(&other), reused);
    assert_eq!(harness.backend.count("/other"), 0);
}

/// A server that crashes on `/crash` and loses the concurrent request `/beside` with it.
fn crashing_server(_: &Upstream, request: &Request) -> Action {
    match request.head.path.as_str() {
        "/crash" | "/beside" => Action::Fail(ms(50), Verdict::MayHaveRun, Reason::ConnectionLost),
        "/freeze" => Action::Fail(ms(50), Verdict::MayHaveRun, Reason::ConnectionSilent),
        _ => Action::Answer(ms(1), "fine"),
    }
}

/// Creates a request like [`request`] that is not repeatable, with a new idempotency key.
fn new_once_request(path: &str) -> Request {
    let mut request = request(path);
    request.head.repeat = Repeat::Once(new_id());
    request
}

#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_servers_runs_alone_and_is_then_refused() {
    let harness = harness(crashing_server).await;
    for _ in 0..4 {
        harness.serve(request("/warm")).await;
    }
    let first = harness.spawn(new_once_request("/crash"));
    let beside = harness.spawn(new_once_request("/beside"));
    assert_eq!(first.await.unwrap().reply.verdict, Verdict::MayHaveRun);
    assert_eq!(beside.await.unwrap().reply.verdict, Verdict::MayHaveRun);
    // The server returns with a higher incarnation, which proves the crash.
    harness.set_owner(0, "a", 10, 2);
    for _ in 0..4 {
        harness.serve(request("/warm")).await;
    }
    let second = harness.spawn(new_once_request("/crash"));
    sleep(ms(10)).await;
    let other = harness.spawn(new_once_request("/other"));
    sleep(ms(10)).await;
    assert_eq!(harness.backend.count("/other"), 0, "the suspect runs alone");
    second.await.unwrap();
    other.await.unwrap();
    harness.set_owner(0, "a", 10, 3);
    let third = harness.serve(new_once_request("/crash")).await;
    assert_eq!(
        verdict_and_reason(&third),
        (Verdict::NotRun, Some(Reason::Quarantined))
    );
    assert!(third.reply.retry_after > Some(Duration::from_mins(4)));
    assert_eq!(harness.backend.count("/crash"), 2);
    let shared = harness.engine.quarantine_export();
    assert_eq!(
        shared.len(),
        1,
        "a request that ran concurrently is not quarantined"
    );

    let other = Harness::new(crashing_server);
    other.engine.quarantine_import(&shared);
    let elsewhere = other.serve(request("/crash")).await;
    assert_eq!(
        verdict_and_reason(&elsewhere),
        (Verdict::NotRun, Some(Reason::Quarantined))
    );
    advance(Duration::from_mins(5)).await;
    harness.serve(new_once_request("/crash")).await;
    assert_eq!(harness.backend.count("/crash"), 3, "the quarantine ends");
}

#[tokio::test(start_paused = true)]
async fn a_suspect_is_never_retried_on_another_server() {
    let harness = harness(crashing_server).await;
    for _ in 0..20 {
        harness.serve(request("/warm")).await;
    }
    let served = harness.spawn(request("/crash"));
    sleep(ms(52)).await;
    harness.set_owner(0, "b", 10, 1);
    let response = served.await.unwrap();
    assert_eq!(
        verdict_and_reason(&response),
        (Verdict::MayHaveRun, Some(Reason::ConnectionLost))
    );
    let received = harness.backend.received();
    assert!(received.iter().all(|received| received.upstream == "a"));
}

#[tokio::test(start_paused = true)]
async fn an_answer_of_a_newer_incarnation_proves_a_crash() {
    let harness = harness(|upstream, request| match request.head.path.as_str() {
        "/next" => Action::Restarted(2),
        _ => crashing_server(upstream, request),
    })
    .await;
    harness.serve(new_once_request("/crash")).await;
    harness.serve(new_once_request("/next")).await;
    for _ in 0..4 {
        harness.serve(request("/warm")).await;
    }
    let second = harness.spawn(new_once_request("/crash"));
    sleep(ms(10)).await;
    let beside = harness.spawn(request("/other"));
    sleep(ms(10)).await;
    assert_eq!(harness.backend.count("/other"), 0, "the suspect runs alone");
    second.await.unwrap();
    beside.await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_lost_connection_without_a_crash_quarantines_no_request() {
    let harness = harness(crashing_server).await;
    for _ in 0..3 {
        harness.serve(new_once_request("/crash")).await;
        advance(Duration::from_secs(3)).await;
    }
    assert_eq!(harness.backend.count("/crash"), 3);
    assert!(harness.engine.quarantine_export().is_empty());
}

/// How a leader learns that the server of a lost request has crashed.
#[derive(Debug, Clone, Copy)]
enum Restart {
    /// The server owns the shard again, after it was down.
    Late,
    /// Another server owns the shard; the server has got another one after its restart.
    OfAnotherShard,
}

#[test_case(Restart::Late, "/crash"; "server that is down for seconds")]
#[test_case(Restart::Late, "/freeze"; "silent server")]
#[test_case(Restart::OfAnotherShard, "/crash"; "server that loses its shard")]
#[tokio::test(start_paused = true)]
async fn request_that_is_sent_alone_crashes_servers_without_end(restart: Restart, path: &str) {
    let harness = harness(crashing_server).await;
    let owners = match restart {
        Restart::Late => [("a", 2), ("a", 3)],
        Restart::OfAnotherShard => [("b", 1), ("a", 2)],
    };
    harness.serve(new_once_request(path)).await;
    for (number, (upstream, incarnation)) in (0..).zip(owners) {
        advance(Duration::from_secs(3)).await;
        harness.set_owner(0, upstream, 10, incarnation);
        if let Restart::OfAnotherShard = restart {
            let crashed = ["a", "b"][number];
            harness.set_owner(1, crashed, 10, 2);
        }
        harness.serve(new_once_request(path)).await;
    }
    assert_eq!(harness.backend.count(path), 2);
}

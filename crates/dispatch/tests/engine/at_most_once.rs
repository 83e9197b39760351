//! Requests that are not repeatable, and requests that crash servers.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use crate::support::{
    Bench, SERVICE, Step, id_made, ms, new_id, once, request, stream, text, told, wall,
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

/// Longer than keys are unknown after a leader has begun.
const KNOWN: Duration = Duration::from_secs(2);

/// A bench that leads for long enough to know new keys.
async fn bench(script: impl Fn(&Upstream, &Request) -> Step + Send + Sync + 'static) -> Bench {
    let bench = Bench::new(script);
    bench.serve(once("/first", new_id())).await;
    advance(KNOWN).await;
    bench
}

#[tokio::test(start_paused = true)]
async fn a_resend_gets_the_kept_answer() {
    let bench = bench(|_, _| Step::Answer(ms(5), "paid")).await;
    let id = new_id();
    for _ in 0..3 {
        let response = bench.serve(once("/payout", id)).await;
        assert_eq!(told(&response), (Verdict::Done, None));
        assert_eq!(text(response).await, "paid");
    }
    assert_eq!(bench.fake.count("/payout"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_resend_of_a_long_answer_hears_that_it_ran() {
    let bench = bench(|_, _| Step::Long(1 << 20)).await;
    let id = new_id();
    let first = bench.serve(once("/payout", id)).await;
    assert_eq!(first.body.collect(2 << 20).await.unwrap().len(), 1 << 20);
    let resend = bench.serve(once("/payout", id)).await;
    assert_eq!(
        (resend.reply.status, told(&resend)),
        (410, (Verdict::Done, None))
    );
    let kept = ("copperwell-body".to_owned(), b"not-kept".to_vec());
    assert!(resend.reply.headers.contains(&kept));
    assert_eq!(bench.fake.count("/payout"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_resend_joins_the_request_in_flight() {
    let bench = bench(|_, _| Step::Answer(ms(500), "paid")).await;
    let id = new_id();
    let first = bench.spawn(once("/payout", id));
    sleep(ms(100)).await;
    let second = bench.spawn(once("/payout", id));
    for served in [first, second] {
        assert_eq!(text(served.await.unwrap()).await, "paid");
    }
    assert_eq!(bench.fake.count("/payout"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_resend_runs_if_the_request_that_it_joined_did_not() {
    let bench = bench(|_, request| match request.head.path.as_str() {
        "/payout" => Step::Fail(ms(100), Verdict::NotRun, Reason::TooLarge),
        _ => Step::Answer(ms(1), ""),
    })
    .await;
    let id = new_id();
    let first = bench.spawn(once("/payout", id));
    sleep(ms(50)).await;
    let second = bench.spawn(once("/payout", id));
    for served in [first, second] {
        assert_eq!(served.await.unwrap().reply.verdict, Verdict::NotRun);
    }
    assert_eq!(bench.fake.count("/payout"), 2);
}

#[tokio::test(start_paused = true)]
async fn a_resend_whose_leader_changes_meanwhile_may_have_run() {
    let bench = bench(|_, _| Step::Answer(ms(500), "paid")).await;
    let id = new_id();
    let first = bench.spawn(once("/payout", id));
    sleep(ms(100)).await;
    let second = bench.spawn(once("/payout", id));
    sleep(ms(100)).await;
    bench.table.set(SERVICE, 0, Route::Elsewhere);
    let exported = bench.engine.window_export(&SERVICE.into(), 10, &[0]);
    assert_eq!(exported.unwrap().entries.len(), 1);
    assert_eq!(told(&first.await.unwrap()), (Verdict::Done, None));
    let doubt = (Verdict::MayHaveRun, Some(Reason::NotLeader));
    assert_eq!(told(&second.await.unwrap()), doubt);
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_hangs_up_finds_the_outcome_later() {
    let bench = bench(|_, _| Step::Answer(ms(500), "paid")).await;
    let id = new_id();
    let first = bench.spawn(once("/payout", id));
    sleep(ms(100)).await;
    first.abort();
    let resend = bench.serve(once("/payout", id)).await;
    assert_eq!(text(resend).await, "paid");
    assert_eq!(bench.fake.count("/payout"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_hangs_up_before_the_send_leaves_nothing() {
    let bench = bench(|_, _| Step::Answer(ms(500), "paid")).await;
    bench.table.set(SERVICE, 0, Route::Held);
    let id = new_id();
    let first = bench.spawn(once("/payout", id));
    sleep(ms(100)).await;
    first.abort();
    yield_now().await;
    bench.own(0, "a", 10, 1);
    sleep(ms(1000)).await;
    assert_eq!(bench.fake.count("/payout"), 0);
    let resend = bench.serve(once("/payout", id)).await;
    assert_eq!(told(&resend), (Verdict::Done, None));
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
    let tries = AtomicU32::new(0);
    let bench = bench(move |_, request| match request.head.path.as_str() {
        "/payout" if tries.fetch_add(1, Ordering::SeqCst) == 0 => {
            Step::Fail(ms(1), verdict, reason)
        }
        _ => Step::Answer(ms(1), "paid"),
    })
    .await;
    let id = new_id();
    let first = bench.serve(once("/payout", id)).await;
    assert_eq!(told(&first), (verdict, Some(reason)));
    let second = bench.serve(once("/payout", id)).await;
    assert_eq!(second.reply.verdict, resent);
    assert_eq!(bench.fake.count("/payout"), runs);
}

#[tokio::test(start_paused = true)]
async fn an_answer_cut_short_may_have_run() {
    let (sender, step) = stream();
    let step = Mutex::new(Some(step));
    let bench = bench(move |_, request| match request.head.path.as_str() {
        "/payout" => step.lock().unwrap().take().unwrap(),
        _ => Step::Answer(ms(1), ""),
    })
    .await;
    let id = new_id();
    let first = bench.spawn(once("/payout", id));
    sender.send("half").await.unwrap();
    drop(sender);
    assert!(first.await.unwrap().body.collect(1024).await.is_err());
    let resend = bench.serve(once("/payout", id)).await;
    assert_eq!(
        told(&resend),
        (Verdict::MayHaveRun, Some(Reason::ConnectionLost))
    );
}

#[test_case(14; "under another epoch")]
#[test_case(10; "after the shard had moved away and back")]
#[tokio::test(start_paused = true)]
async fn a_leader_without_the_table_says_that_older_keys_may_have_run(epoch: u64) {
    let bench = bench(|_, _| Step::Answer(ms(1), "paid")).await;
    let id = new_id();
    bench.table.set(SERVICE, 0, Route::Elsewhere);
    sleep(ms(100)).await;
    bench.own(0, "a", epoch, 1);
    let old = bench.serve(once("/payout", id)).await;
    let unknown = (Verdict::MayHaveRun, Some(Reason::IdempotencyKeyUnknown));
    assert_eq!(told(&old), unknown);
    advance(KNOWN).await;
    let new = bench.serve(once("/payout", new_id())).await;
    assert_eq!(told(&new), (Verdict::Done, None));
}

#[tokio::test(start_paused = true)]
async fn a_shard_that_took_no_key_knows_new_ones_here_and_at_the_next_leader() {
    let before = bench(|_, _| Step::Answer(ms(1), "paid")).await;
    let after = Bench::new(|_, _| Step::Answer(ms(1), "paid"));
    let quiet = |shard| {
        let mut request = once("/payout", new_id());
        request.head.shard = shard;
        request
    };
    assert_eq!(told(&before.serve(quiet(1)).await), (Verdict::Done, None));
    for bench in [&before, &after] {
        bench.table.set(SERVICE, 2, Route::Elsewhere);
    }
    let export = before.engine.window_export(&SERVICE.into(), 10, &[2]);
    after.engine.window_import(export.unwrap());
    after.own(2, "a", 11, 1);
    assert_eq!(told(&after.serve(quiet(2)).await), (Verdict::Done, None));
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_never_owned_a_shard_hands_over_no_claim_to_know_it() {
    let before = bench(|_, _| Step::Answer(ms(1), "paid")).await;
    before.serve(once("/payout", new_id())).await;
    before.table.set(SERVICE, 0, Route::Elsewhere);
    before.table.set(SERVICE, 0, Route::Held);
    before.table.set(SERVICE, 0, Route::Elsewhere);
    let export = before.engine.window_export(&SERVICE.into(), 12, &[0]);
    assert!(export.unwrap().shards.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_request_that_waits_through_a_hand_over_runs_at_the_next_leader() {
    let bench = bench(|_, _| Step::Answer(ms(1), "paid")).await;
    bench.table.set(SERVICE, 0, Route::Held);
    let waits = bench.spawn(once("/payout", new_id()));
    sleep(ms(10)).await;
    bench.table.set(SERVICE, 0, Route::Elsewhere);
    let export = bench.engine.window_export(&SERVICE.into(), 10, &[0]);
    assert!(export.unwrap().entries.is_empty(), "it has not left");
    // Ingress asks the next leader, for which the key is new.
    let elsewhere = (Verdict::NotRun, Some(Reason::NotLeader));
    assert_eq!(told(&waits.await.unwrap()), elsewhere);
}

#[tokio::test(start_paused = true)]
async fn a_leader_begins_only_when_the_one_before_has_stopped() {
    let bench = bench(|_, _| Step::Answer(ms(1), "paid")).await;
    bench.table.set(SERVICE, 0, Route::Elsewhere);
    bench.table.set(SERVICE, 0, Route::Held);
    let early = bench.spawn(once("/early", new_id()));
    sleep(KNOWN).await;
    // The leader before has not been fenced yet, so it may let a key run that is made now.
    let id = new_id();
    sleep(ms(10)).await;
    bench.own(0, "a", 14, 1);
    let unknown = (Verdict::MayHaveRun, Some(Reason::IdempotencyKeyUnknown));
    let late = bench.serve(once("/payout", id)).await;
    assert_eq!(told(&late), unknown);
    assert_eq!(told(&early.await.unwrap()), unknown);
}

#[tokio::test(start_paused = true)]
async fn a_request_for_which_no_owner_is_found_may_have_run_under_the_leader_before() {
    let bench = bench(|_, _| Step::Answer(ms(1), "paid")).await;
    bench.table.set(SERVICE, 0, Route::Unowned);
    let steady = bench.serve(once("/payout", new_id())).await;
    assert_eq!(told(&steady), (Verdict::NotRun, Some(Reason::Unowned)));
    bench.table.set(SERVICE, 0, Route::Elsewhere);
    bench.table.set(SERVICE, 0, Route::Unowned);
    let new = bench.serve(once("/payout", new_id())).await;
    assert_eq!(told(&new), (Verdict::MayHaveRun, Some(Reason::Unowned)));
}

#[tokio::test(start_paused = true)]
async fn a_planned_hand_over_takes_the_table_along() {
    let before = bench(|_, _| Step::Answer(ms(1), "paid")).await;
    let after = Bench::new(|_, _| Step::Answer(ms(1), "twice"));
    let id = new_id();
    before.serve(once("/payout", id)).await;
    before.table.set(SERVICE, 0, Route::Elsewhere);
    after.table.set(SERVICE, 0, Route::Elsewhere);
    let service: ServiceName = SERVICE.into();
    let export = before.engine.window_export(&service, 10, &[0]).unwrap();
    after.engine.window_import(export);
    after.own(0, "a", 11, 1);
    let resend = after.serve(once("/payout", id)).await;
    assert_eq!(text(resend).await, "paid");
    let fresh = after.serve(once("/payout", new_id())).await;
    assert_eq!(text(fresh).await, "twice");
}

#[test_case(id_made(wall() + Duration::from_secs(5)), Verdict::NotRun, Reason::IdempotencyKeyInvalid; "from the future")]
#[test_case(id_made(wall() - Duration::from_hours(1)), Verdict::MayHaveRun, Reason::IdempotencyKeyExpired; "too old")]
#[test_case(Uuid::new_v4(), Verdict::NotRun, Reason::IdempotencyKeyInvalid; "not a version 7")]
#[tokio::test(start_paused = true)]
async fn a_bad_key_is_told(id: Uuid, verdict: Verdict, reason: Reason) {
    let bench = bench(|_, _| Step::Answer(ms(1), "paid")).await;
    let response = bench.serve(once("/payout", id)).await;
    assert_eq!(told(&response), (verdict, Some(reason)));
    assert_eq!(bench.fake.count("/payout"), 0);
}

#[tokio::test(start_paused = true)]
async fn a_key_used_for_another_request_is_told() {
    let bench = bench(|_, _| Step::Answer(ms(1), "paid")).await;
    let id = new_id();
    bench.serve(once("/payout", id)).await;
    let other = bench.serve(once("/other", id)).await;
    let reused = (Verdict::NotRun, Some(Reason::IdempotencyKeyReused));
    assert_eq!(told(&other), reused);
    assert_eq!(bench.fake.count("/other"), 0);
}

/// A server that crashes on `/crash`: what runs beside it is lost, and the next is refused.
fn crashing(_: &Upstream, request: &Request) -> Step {
    match request.head.path.as_str() {
        "/crash" | "/beside" => Step::Fail(ms(50), Verdict::MayHaveRun, Reason::ConnectionLost),
        _ => Step::Answer(ms(1), "fine"),
    }
}

/// As [`request`], but sent once by us.
fn unrepeated(path: &str) -> Request {
    let mut request = request(path);
    request.head.repeat = Repeat::Once(new_id());
    request
}

#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_servers_runs_alone_and_is_then_refused() {
    let bench = bench(crashing).await;
    for _ in 0..4 {
        bench.serve(request("/warm")).await;
    }
    let first = bench.spawn(unrepeated("/crash"));
    let beside = bench.spawn(unrepeated("/beside"));
    assert_eq!(first.await.unwrap().reply.verdict, Verdict::MayHaveRun);
    assert_eq!(beside.await.unwrap().reply.verdict, Verdict::MayHaveRun);
    // The server comes back as another run, which proves the crash.
    bench.own(0, "a", 10, 2);
    for _ in 0..4 {
        bench.serve(request("/warm")).await;
    }
    let second = bench.spawn(unrepeated("/crash"));
    sleep(ms(10)).await;
    let other = bench.spawn(unrepeated("/other"));
    sleep(ms(10)).await;
    assert_eq!(bench.fake.count("/other"), 0, "the suspect runs alone");
    second.await.unwrap();
    other.await.unwrap();
    bench.own(0, "a", 10, 3);
    let third = bench.serve(unrepeated("/crash")).await;
    assert_eq!(told(&third), (Verdict::NotRun, Some(Reason::Quarantined)));
    assert!(third.reply.retry_after > Some(Duration::from_mins(4)));
    assert_eq!(bench.fake.count("/crash"), 2);
    let shared = bench.engine.quarantine_export();
    assert_eq!(shared.len(), 1, "what ran beside it is not convicted");

    let other = Bench::new(crashing);
    other.engine.quarantine_import(&shared);
    let elsewhere = other.serve(request("/crash")).await;
    assert_eq!(
        told(&elsewhere),
        (Verdict::NotRun, Some(Reason::Quarantined))
    );
    advance(Duration::from_mins(5)).await;
    bench.serve(unrepeated("/crash")).await;
    assert_eq!(bench.fake.count("/crash"), 3, "the quarantine ends");
}

#[tokio::test(start_paused = true)]
async fn a_suspect_is_never_sent_on_to_another_server_by_us() {
    let bench = bench(crashing).await;
    for _ in 0..20 {
        bench.serve(request("/warm")).await;
    }
    let served = bench.spawn(request("/crash"));
    sleep(ms(52)).await;
    bench.own(0, "b", 10, 1);
    let response = served.await.unwrap();
    assert_eq!(
        told(&response),
        (Verdict::MayHaveRun, Some(Reason::ConnectionLost))
    );
    let seen = bench.fake.seen();
    assert!(seen.iter().all(|seen| seen.upstream == "a"));
}

#[tokio::test(start_paused = true)]
async fn an_answer_of_another_run_proves_a_crash() {
    let bench = bench(|upstream, request| match request.head.path.as_str() {
        "/next" => Step::Restarted(2),
        _ => crashing(upstream, request),
    })
    .await;
    bench.serve(unrepeated("/crash")).await;
    bench.serve(unrepeated("/next")).await;
    for _ in 0..4 {
        bench.serve(request("/warm")).await;
    }
    let second = bench.spawn(unrepeated("/crash"));
    sleep(ms(10)).await;
    let beside = bench.spawn(request("/other"));
    sleep(ms(10)).await;
    assert_eq!(bench.fake.count("/other"), 0, "the suspect runs alone");
    second.await.unwrap();
    beside.await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_connection_lost_without_a_crash_condemns_nobody() {
    let bench = bench(crashing).await;
    for _ in 0..3 {
        bench.serve(unrepeated("/crash")).await;
        advance(Duration::from_secs(3)).await;
    }
    assert_eq!(bench.fake.count("/crash"), 3);
    assert!(bench.engine.quarantine_export().is_empty());
}

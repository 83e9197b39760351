//! Tests of slots, retry budgets, concurrency limits, retries, backoff and the quarantine.

use std::time::Duration;

use copperwell_message::{Class, Reason, Repeat, Verdict};
use copperwell_policy::{
    backoff::Backoff,
    budget::Budget,
    limit::{Limit, Refusal},
    quarantine::{Admission, Quarantine, Suspect},
    retry::{self, Retry},
    slots::{End, Slots},
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use test_case::test_case;
use tokio::time::Instant;
use uuid::Uuid;

const QUARANTINE_TIME: Duration = Duration::from_mins(5);
/// Requests with fingerprints up to this one crash the server that runs them.
const POISON_MAX: u64 = 2;

fn run(slots: &mut Slots, now: Instant, class: Class, end: End) {
    let run = slots.start(now, class, false);
    slots.finish(now + Duration::from_millis(10), run, end);
}

#[test]
fn limit_ramps_up_with_answers_and_halves_when_the_server_sheds() {
    let now = Instant::now();
    let mut slots = Slots::new(6);
    let mut limits = Vec::new();
    for _ in 0..15 {
        run(&mut slots, now, Class::Interactive, End::Answered);
        limits.push(slots.limit());
    }
    assert_eq!(limits, [2, 2, 3, 3, 3, 4, 4, 4, 4, 5, 5, 5, 5, 5, 6]);
    run(&mut slots, now, Class::Interactive, End::Shed);
    assert_eq!(slots.limit(), 3);
    slots.restart();
    assert_eq!(slots.limit(), 1);
}

#[test]
fn batch_leaves_a_slot_free_while_interactive_requests_arrive() {
    let now = Instant::now();
    let mut slots = Slots::new(2);
    run(&mut slots, now, Class::Batch, End::Answered);
    slots.start(now, Class::Batch, false);
    assert!(slots.is_free_for_batch(now));
    slots.record_arrival(now, Class::Interactive);
    assert!(!slots.is_free_for_batch(now));
    assert!(slots.is_free(now));
    assert!(slots.is_free_for_batch(now + Duration::from_secs(1)));
}

#[test_case(Verdict::Done, Reason::Shed, true => Retry::Never; "done")]
#[test_case(Verdict::NotRun, Reason::Shed, false => Retry::Anywhere; "shed")]
#[test_case(Verdict::NotRun, Reason::ConnectionRefused, false => Retry::Anywhere; "refused")]
#[test_case(Verdict::NotRun, Reason::Fenced, false => Retry::Anywhere; "fenced")]
#[test_case(Verdict::NotRun, Reason::LeaseLapsed, false => Retry::Anywhere; "lapsed")]
#[test_case(Verdict::NotRun, Reason::QueueFull, true => Retry::Never; "full")]
#[test_case(Verdict::NotRun, Reason::Quarantined, true => Retry::Never; "quarantined")]
#[test_case(Verdict::MayHaveRun, Reason::ConnectionLost, true => Retry::SameUpstream; "lost")]
#[test_case(Verdict::MayHaveRun, Reason::ConnectionSilent, true => Retry::Anywhere; "silent")]
#[test_case(Verdict::MayHaveRun, Reason::DeadlinePassed, true => Retry::Never; "deadline")]
#[test_case(Verdict::MayHaveRun, Reason::ConnectionLost, false => Retry::Never; "lost, not repeatable")]
#[test_case(Verdict::MayHaveRun, Reason::ConnectionSilent, false => Retry::Never; "silent, not repeatable")]
fn retries_follow_the_verdict(verdict: Verdict, reason: Reason, repeatable: bool) -> Retry {
    let repeat = if repeatable {
        Repeat::Repeatable
    } else {
        Repeat::Once(Uuid::nil())
    };
    retry::after(verdict, reason, repeat)
}

#[test]
fn burst_of_one_caller_leaves_capacity_for_others() {
    let mut limit = Limit::new(10);
    let burst = (0..20).filter(|_| limit.acquire(1).is_ok()).count();
    assert_eq!(burst, 10);
    assert_eq!(limit.acquire(2), Err(Refusal::Full));
    limit.release(&1);
    assert_eq!(limit.acquire(2), Ok(()));
    limit.release(&1);
    assert_eq!(limit.acquire(1), Err(Refusal::Share));
    assert_eq!(limit.acquire(2), Ok(()));
    assert_eq!(limit.in_flight(), 10);
}

/// Runs `cases` cases from a fixed seed.
fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn retries_never_exceed_their_share(
        percent in 0..=100_u8,
        attempts in vec(any::<bool>(), 0..2000)
    ) {
        let mut budget = Budget::new();
        let (mut first_attempts, mut retries) = (0_u64, 0_u64);
        for is_retry in attempts {
            if is_retry {
                retries += u64::from(budget.withdraw());
            } else {
                first_attempts += 1;
                budget.record_first_attempt(percent);
            }
            prop_assert!(retries * 100 <= first_attempts * u64::from(percent));
        }
    }

    #[test]
    fn backoff_stays_within_its_bounds(attempt in 1..100_u32) {
        let (first, max) = (Duration::from_millis(10), Duration::from_secs(1));
        let delay = Backoff::new(first, max).delay(attempt, &mut rand::rng());
        prop_assert!(delay >= first / 2 && delay <= max);
    }

    /// Guards against the conviction of a request that only ran beside one that crashes servers.
    #[test]
    fn only_requests_that_crash_servers_are_convicted(rounds in vec(vec(1..8_u64, 1..5), 0..60)) {
        let now = Instant::now();
        let mut quarantine = Quarantine::new();
        let mut crashes = [0; 8];
        for round in rounds {
            let admitted = |admission: Admission| {
                round
                    .iter()
                    .copied()
                    .filter(|fingerprint| quarantine.admit(now, *fingerprint) == admission)
                    .collect()
            };
            let together: Vec<u64> = admitted(Admission::Free);
            let exclusive: Vec<u64> = admitted(Admission::Exclusive);
            let batches = exclusive
                .iter()
                .map(|fingerprint| vec![*fingerprint])
                .chain([together.clone()]);
            for batch in batches {
                let crashed = batch.iter().any(|fingerprint| *fingerprint <= POISON_MAX);
                for fingerprint in &batch {
                    let suspect = Suspect {
                        fingerprint: *fingerprint,
                        is_exclusive: batch != together,
                        incarnation: 1,
                    };
                    if crashed {
                        quarantine.crash(now, suspect, QUARANTINE_TIME);
                    } else if suspect.is_exclusive {
                        quarantine.clear(now, *fingerprint);
                    }
                }
                for poison in batch.iter().filter(|fingerprint| **fingerprint <= POISON_MAX) {
                    crashes[usize::try_from(*poison).unwrap()] += 1;
                }
            }
            let convicted = quarantine.export(now);
            prop_assert!(convicted.iter().all(|conviction| conviction.fingerprint <= POISON_MAX));
        }
        prop_assert!(crashes.iter().all(|count| *count <= 2 + 4), "{:?}", crashes);
    }
}

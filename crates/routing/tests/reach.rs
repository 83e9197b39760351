//! Which paths to upstreams are probed, lost and back.

use std::{collections::HashSet, sync::Arc, time::Duration};

use copperwell_routing::{
    UpstreamId,
    reach::{Change, End, Probe, Reach},
    registry::Upstream,
};
use rand::{SeedableRng, rngs::StdRng};
use test_case::test_case;
use tokio::time::Instant;

fn upstream(number: usize) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: format!("u{number}").into(),
        born: 1,
        service: "cups".into(),
        address: ([127, 0, 0, 1], 9).into(),
        zone: "here".into(),
        slots: 2,
        is_draining: false,
        warmup: Duration::ZERO,
    })
}

fn id(number: usize) -> UpstreamId {
    upstream(number).id.clone()
}

fn probes(reach: &mut Reach, all: &[Arc<Upstream>], now: Instant) -> Vec<Probe> {
    reach.update(all, now, &mut StdRng::seed_from_u64(1)).probes
}

/// Sends a request to each of `count` upstreams, which answer it.
fn used(count: usize, now: Instant) -> (Reach, Vec<Arc<Upstream>>) {
    let mut reach = Reach::default();
    for number in 0..count {
        reach.record_send(&id(number), now);
        reach.record_end(&id(number), End::Answered, now);
    }
    (reach, (0..count).map(upstream).collect())
}

#[test]
fn path_is_lost_and_back_once() {
    let mut reach = Reach::default();
    let start = Instant::now();
    assert_eq!(reach.record_connect(&id(0), true, start), None);
    assert_eq!(
        reach.record_connect(&id(0), false, start),
        Some(Change::Lost)
    );
    assert_eq!(reach.record_connect(&id(0), false, start), None);
    let later = start + Duration::from_secs(2);
    let back = Change::Back(Duration::from_secs(2));
    assert_eq!(reach.record_connect(&id(0), true, later), Some(back));
    assert!(!reach.is_lost(&id(0)));
}

#[test]
fn open_connections_are_used_while_new_ones_are_refused() {
    let start = Instant::now();
    let (mut reach, _) = used(1, start);
    reach.record_connect(&id(0), false, start + Duration::from_millis(1));
    assert!(reach.is_unusable(&id(0)));
    reach.record_send(&id(0), start + Duration::from_millis(2));
    reach.record_end(&id(0), End::Answered, start + Duration::from_millis(3));
    assert!(reach.is_lost(&id(0)));
    assert!(!reach.is_unusable(&id(0)));
}

#[test_case(100, 0; "a request has waited for a moment")]
#[test_case(1_000, 3; "a request has waited for long")]
fn silent_path_is_probed(waited_ms: u64, probed: usize) {
    let start = Instant::now();
    let (mut reach, all) = used(3, start);
    reach.record_send(&id(1), start);
    let now = start + Duration::from_millis(waited_ms);
    let due = probes(&mut reach, &all, now);
    // Others are asked with it, as they may be silent too.
    let probe = |number| Probe {
        upstream: upstream(number),
        asks: true,
    };
    let expected: Vec<_> = (0..probed).map(probe).collect();
    assert_eq!(due, expected);
    assert_eq!(probes(&mut reach, &all, now), vec![]);
}

#[test_case(1, 1; "one lost")]
#[test_case(2, 5; "two lost")]
fn paths_that_were_used_are_in_doubt_while_several_are_lost(lost: usize, probed: usize) {
    let start = Instant::now();
    let (mut reach, all) = used(5, start);
    let now = start + Duration::from_secs(1);
    for number in 0..lost {
        reach.record_connect(&id(number), false, now);
    }
    assert_eq!(probes(&mut reach, &all, now).len(), probed);
    // Those that can be reached are not probed again until another one is lost.
    for number in lost..5 {
        reach.record_connect(&id(number), true, now);
    }
    let later = now + Duration::from_secs(3);
    assert_eq!(probes(&mut reach, &all, later).len(), lost);
}

#[test]
fn probes_are_bounded() {
    let start = Instant::now();
    let (mut reach, all) = used(400, start);
    for number in 0..400 {
        reach.record_connect(&id(number), false, start);
    }
    assert_eq!(probes(&mut reach, &all, start).len(), 8);
}

#[test_case(2, false; "a few of ten")]
#[test_case(8, true; "eight of ten")]
fn daemon_is_cut_off(lost: usize, is_cut_off: bool) {
    let start = Instant::now();
    let (mut reach, _) = used(10, start);
    for number in 0..lost {
        reach.record_connect(&id(number), false, start);
    }
    assert_eq!(reach.is_cut_off(10), is_cut_off);
}

#[test]
fn connections_that_open_and_break_are_used_without_end() {
    let start = Instant::now();
    let (mut reach, _) = used(1, start);
    let lose = |reach: &mut Reach, at| {
        reach.record_send(&id(0), at);
        reach.record_end(&id(0), End::ConnectionLost, at)
    };
    assert_eq!(lose(&mut reach, start), None);
    assert_eq!(lose(&mut reach, start), Some(Change::Lost));
    // Probes say that connections can be opened.
    let soon = start + Duration::from_secs(1);
    assert_eq!(reach.record_connect(&id(0), true, soon), None);
    assert!(reach.is_unusable(&id(0)));
    let later = start + Duration::from_secs(2);
    let back = Change::Back(Duration::from_secs(2));
    assert_eq!(reach.record_connect(&id(0), true, later), Some(back));
    assert_eq!(lose(&mut reach, later), Some(Change::Lost));
    assert!(reach.restart(&id(0), later).is_some());
    assert!(!reach.is_lost(&id(0)));
}

#[test]
fn answer_between_two_losses_shows_that_the_path_is_there() {
    let start = Instant::now();
    let (mut reach, _) = used(1, start);
    for end in [End::ConnectionLost, End::Answered, End::ConnectionLost] {
        reach.record_send(&id(0), start);
        assert_eq!(reach.record_end(&id(0), end, start), None);
    }
}

#[test]
fn path_on_which_orders_break_is_lost() {
    let now = Instant::now();
    let mut reach = Reach::default();
    assert_eq!(reach.record_loss(&id(0), now), None);
    assert_eq!(reach.record_loss(&id(0), now), Some(Change::Lost));
}

/// Returns paths to `count` upstreams, at the first `silent` of which a request has waited since `start`.
fn waiting(count: usize, silent: usize, start: Instant) -> (Reach, Vec<Arc<Upstream>>) {
    let (mut reach, all) = used(count, start);
    for number in 0..count {
        reach.record_send(&id(number), start);
        if number >= silent {
            reach.record_send(&id(number), start);
            let answered_at = start + Duration::from_millis(900);
            reach.record_end(&id(number), End::Answered, answered_at);
        }
    }
    (reach, all)
}

#[test_case(1, false; "one of four")]
#[test_case(3, false; "three of four")]
#[test_case(4, true; "all")]
fn health_checks_are_sent_where_others_answer(silent: usize, asks: bool) {
    let start = Instant::now();
    let (mut reach, all) = waiting(4, silent, start);
    let due = probes(&mut reach, &all, start + Duration::from_secs(1));
    assert_eq!(due.len(), silent);
    assert!(due.iter().all(|probe| probe.asks == asks), "{due:?}");
}

#[test]
fn silent_path_is_used_without_end() {
    let start = Instant::now();
    let (mut reach, all) = waiting(1, 1, start);
    let lost_at = start + Duration::from_secs(2);
    assert_eq!(
        reach.record_health_timeout(&id(0), start, lost_at),
        Some(Change::Lost)
    );
    assert!(reach.is_unusable(&id(0)));
    // Connections can be opened, which tells nothing of their answers.
    let later = lost_at + Duration::from_secs(4);
    assert_eq!(reach.record_connect(&id(0), true, later), None);
    assert!(probes(&mut reach, &all, later)[0].asks);
    let back = Change::Back(Duration::from_secs(4));
    assert_eq!(reach.record_health_answer(&id(0), later), Some(back));
    assert!(!reach.is_unusable(&id(0)));
    assert_eq!(probes(&mut reach, &all, later), vec![]);
}

#[test_case(|_| End::Answered, false; "answered")]
#[test_case(|_| End::Other, false; "left by its caller")]
#[test_case(|sent_at| End::TimedOut { sent_at }, true; "not answered")]
fn path_is_forgotten_after_a_request_has_waited_in_vain(end: fn(Instant) -> End, is_probed: bool) {
    let start = Instant::now();
    let (mut reach, all) = used(1, start);
    reach.record_send(&id(0), start);
    let ended_at = start + Duration::from_millis(400);
    reach.record_end(&id(0), end(start), ended_at);
    let due = probes(&mut reach, &all, start + Duration::from_secs(1));
    assert_eq!(due.iter().any(|probe| probe.asks), is_probed);
}

#[test]
fn order_that_waits_in_vain_leaves_the_path_in_use() {
    let start = Instant::now();
    let mut reach = Reach::default();
    reach.record_timeout(&id(0), start);
    let now = start + Duration::from_secs(1);
    assert!(probes(&mut reach, &[upstream(0)], now)[0].asks);
    reach.record_health_timeout(&id(0), start, now);
    assert!(reach.is_lost(&id(0)));
    assert!(reach.record_order_answer(&id(0), now).is_some());
    assert!(!reach.is_lost(&id(0)));
}

#[test]
fn path_is_lost_while_requests_are_answered_beside_a_slow_health_check() {
    let start = Instant::now();
    let (mut reach, _) = waiting(1, 1, start);
    let sent_at = start + Duration::from_secs(1);
    let answered_at = sent_at + Duration::from_millis(400);
    reach.record_end(&id(0), End::Answered, answered_at);
    let now = sent_at + Duration::from_millis(800);
    assert_eq!(reach.record_health_timeout(&id(0), sent_at, now), None);
    assert!(!reach.is_lost(&id(0)));
}

#[test_case(|reach, at| reach.record_connect(&id(0), false, at); "refuse")]
#[test_case(|reach, at| reach.record_loss(&id(0), at).or(reach.record_loss(&id(0), at)); "break")]
fn lost_path_is_back_as_soon_as_connections_open(lose: fn(&mut Reach, Instant) -> Option<Change>) {
    let start = Instant::now();
    let (mut reach, all) = used(1, start);
    assert_eq!(lose(&mut reach, start), Some(Change::Lost));
    let later = start + Duration::from_secs(2);
    assert!(probes(&mut reach, &all, later)[0].asks);
    assert_eq!(reach.record_health_timeout(&id(0), start, later), None);
    assert!(reach.is_unusable(&id(0)));
    assert!(reach.record_health_answer(&id(0), later).is_some());
    assert!(!reach.is_unusable(&id(0)));
}

/// The number of upstreams of [`fleet`]; even ones are of one service, and every fourth is in another data centre.
const FLEET: usize = 200;

/// How often paths are looked at.
const TICK: Duration = Duration::from_millis(100);

fn fleet() -> Vec<Arc<Upstream>> {
    let one = |number| {
        let mut one = Upstream::clone(&upstream(number));
        one.service = if number % 2 == 0 { "cups" } else { "pay" }.into();
        one.zone = if number % 4 < 3 { "here" } else { "there" }.into();
        Arc::new(one)
    };
    (0..FLEET).map(one).collect()
}

/// Looks at the paths for `ticks`, with all probes of upstreams that are `cut` failing.
fn play(
    reach: &mut Reach,
    all: &[Arc<Upstream>],
    start: Instant,
    ticks: u32,
    cut: fn(usize) -> bool,
) -> Vec<usize> {
    let mut probed = Vec::new();
    for tick in 0..ticks {
        let now = start + TICK * tick;
        for probe in probes(reach, all, now) {
            let number: usize = probe.upstream.id[1..].parse().unwrap();
            probed.push(number);
            match cut(number) {
                true => reach.record_connect(&probe.upstream.id, false, now),
                false => reach.record_health_answer(&probe.upstream.id, now),
            };
        }
    }
    probed
}

#[test_case(|_| true, 2; "from all")]
#[test_case(|number| number % 2 == 0, 2; "from a service")]
#[test_case(|number| number % 4 == 3, 2; "from a data centre")]
fn untried_upstreams_pass_for_usable_after_a_cut(cut: fn(usize) -> bool, lost: usize) {
    let start = Instant::now();
    let (mut reach, all) = (Reach::default(), fleet());
    for number in (0..FLEET).filter(|number| cut(*number)).take(lost) {
        reach.record_connect(&id(number), false, start);
    }
    play(&mut reach, &all, start, 15, cut);
    for number in 0..FLEET {
        assert_eq!(reach.is_unusable(&id(number)), cut(number), "u{number}");
    }
    // After the end of the cut, the paths are back although most were never probed.
    let healed = start + Duration::from_secs(20);
    play(&mut reach, &all, healed, 30, |_| false);
    assert_eq!(reach.lost(), Vec::<UpstreamId>::new());
}

#[test_case(|number| number < 2; "two of 200")]
#[test_case(|number| number % 3 == 0; "a third")]
fn usable_upstreams_pass_for_lost_with_others(cut: fn(usize) -> bool) {
    let start = Instant::now();
    let (mut reach, all) = (Reach::default(), fleet());
    reach.record_connect(&id(0), false, start);
    reach.record_connect(&id(1), false, start);
    reach.record_connect(&id(3), !cut(3), start);
    play(&mut reach, &all, start, 60, cut);
    let wrong = (0..FLEET).filter(|number| reach.is_lost(&id(*number)) && !cut(*number));
    assert_eq!(wrong.count(), 0);
}

#[test]
fn daemon_with_one_request_takes_untried_upstreams_for_usable_while_connections_hang() {
    let start = Instant::now();
    let (mut reach, all) = (Reach::default(), fleet());
    reach.record_send(&id(0), start);
    let asked_at = start + Duration::from_secs(1);
    let answered_at = asked_at + Duration::from_millis(800);
    for probe in probes(&mut reach, &all, asked_at) {
        assert!(probe.asks);
        reach.record_health_timeout(&probe.upstream.id, asked_at, answered_at);
    }
    play(&mut reach, &all, answered_at, 1, |_| true);
    assert!((0..FLEET).all(|number| reach.is_unusable(&id(number))));
    assert!(reach.is_cut_off(FLEET));
}

#[test]
fn lost_paths_take_all_probes_from_others() {
    let start = Instant::now();
    let (mut reach, all) = used(800, start);
    for number in 0..800 {
        reach.record_connect(&id(number), number % 2 == 0, start);
    }
    let probed = play(&mut reach, &all, start, 70, |number| number % 2 == 1);
    let probed: HashSet<_> = probed.into_iter().collect();
    assert!((0..400).all(|number| probed.contains(&(2 * number + 1))));
}

#[test_case(true; "of which some answer requests")]
#[test_case(false; "of which two refuse connections")]
fn busy_upstreams_that_leave_health_checks_unanswered_pass_for_lost(are_some_answered: bool) {
    let start = Instant::now();
    let (mut reach, all) = (Reach::default(), fleet());
    reach.record_send(&id(2), start);
    if are_some_answered {
        reach.record_send(&id(0), start);
    } else {
        reach.record_connect(&id(4), false, start);
        reach.record_connect(&id(6), false, start);
    }
    let asked_at = start + Duration::from_secs(1);
    let answered_at = asked_at + Duration::from_millis(800);
    let ticks = (0..8).map(|tick| asked_at + TICK * tick);
    let due = ticks.flat_map(|now| probes(&mut reach, &all, now));
    let due: Vec<_> = due.collect();
    reach.record_end(&id(2), End::Answered, answered_at);
    for Probe { upstream, asks } in due {
        match asks {
            true => reach.record_health_timeout(&upstream.id, asked_at, answered_at),
            false => reach.record_connect(&upstream.id, true, answered_at),
        };
    }
    play(&mut reach, &all, answered_at, 1, |_| false);
    let lost = |number: &usize| reach.is_lost(&id(*number));
    let wrong: Vec<_> = (0..FLEET)
        .filter(lost)
        .filter(|one| ![0, 4, 6].contains(one))
        .collect();
    assert_eq!(wrong, Vec::<usize>::new());
}

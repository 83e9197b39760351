//! Tests of the failure detector with simulated probes, over many random seeds.

use std::{net::SocketAddr, time::Duration};

use copperwell_keyspace::Member;
use copperwell_policy::suspicion::{
    Change, FailureDetector, HELPERS_MAX, Liveness, RUMOURS_MAX, Rumour, SUCCESSORS, SUSPECTS_MAX,
    SUSPICION_TIMEOUT, Subject, Vm,
};
use test_case::test_case;
use tokio::time::Instant;

use fleet::{Fleet, ROUND};

mod fleet;

fn member(index: usize, incarnation: u64) -> Member {
    let port = u16::try_from(index).unwrap() + 1;
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Member {
        name: format!("daemon-{index}").into(),
        incarnation,
        data_centre: format!("dc-{}", index % 3).into(),
        control: address,
        requests: address,
        admin: address,
    }
}

fn rumour(index: usize, refutation: u32, liveness: Liveness) -> Rumour {
    Rumour {
        member: member(index, 1),
        refutation,
        leaving: false,
        liveness,
    }
}

fn subject(index: usize) -> Subject {
    Subject {
        name: member(index, 1).name,
        incarnation: 1,
    }
}

fn vm(index: usize, leaving: bool) -> Vm {
    let member = member(index, 1);
    Vm {
        name: member.name,
        data_centre: member.data_centre,
        control: member.control,
        leaving,
    }
}

/// Returns a detector that knows daemon 3, of the same data centre, from an answer at `now`.
fn acquainted(now: Instant) -> FailureDetector {
    let mut detector = FailureDetector::new(member(0, 1), Vec::new(), 1);
    detector.record_answer(now, rumour(3, 0, Liveness::Live));
    detector
}

fn liveness(detector: &FailureDetector, index: usize) -> Liveness {
    let name = member(index, 1).name;
    let mut reports = detector.reports();
    reports
        .find(|report| report.member.name == name)
        .unwrap()
        .liveness
}

#[test_case(12)]
#[test_case(60)]
fn daemons_find_each_other_through_one_seed(size: usize) {
    for random_seed in 0..3 {
        let mut fleet = Fleet::new(size, 0.01, random_seed);
        fleet.run(Duration::from_secs(20));
        for node in 0..size {
            assert_eq!(fleet.nodes[node].detector.reports().count(), size);
        }
        assert_eq!(fleet.losses().count(), 0);
    }
}

#[test_case(12, 20)]
#[test_case(60, 4)]
fn loss_of_a_daemon_is_detected_in_about_a_second(size: usize, random_seeds: u64) {
    for random_seed in 0..random_seeds {
        let mut fleet = Fleet::acquainted(size, 0.0, random_seed);
        let killed = fleet.now;
        fleet.nodes[5].dead = true;
        fleet.run(Duration::from_secs(6));
        let first = fleet.losses().map(|observed| observed.at).min().unwrap();
        assert!(first - killed <= Duration::from_millis(1250));
        for node in (0..size).filter(|node| *node != 5) {
            assert_eq!(fleet.liveness(node, 5), Some(Liveness::Lost), "{node}");
        }
        let expected = Change::Lost(member(5, 1));
        let others = fleet
            .losses()
            .filter(|observed| observed.change != expected);
        assert_eq!(others.count(), 0);
    }
}

#[test]
fn partner_in_another_data_centre_detects_the_loss_itself() {
    for random_seed in 0..20 {
        let mut fleet = Fleet::acquainted(30, 0.0, random_seed);
        let partners = [member(5, 1).name].into_iter().collect();
        fleet.nodes[0].detector.set_partners(partners);
        fleet.run(ROUND);
        let killed = fleet.now;
        fleet.nodes[5].dead = true;
        fleet.run(Duration::from_secs(3));
        let loss = fleet.losses().find(|observed| observed.node == 0).unwrap();
        assert!(loss.at - killed <= Duration::from_millis(1250));
    }
}

#[test_case(12, 10)]
#[test_case(60, 1)]
fn message_loss_alone_makes_no_member_lost(size: usize, random_seeds: u64) {
    for random_seed in 0..random_seeds {
        let mut fleet = Fleet::acquainted(size, 0.02, random_seed);
        fleet.run(Duration::from_secs(60));
        assert_eq!(fleet.losses().count(), 0, "seed {random_seed}");
    }
}

#[test]
fn cost_of_a_daemon_does_not_grow_with_the_fleet() {
    let per_round = |size: usize| {
        let mut fleet = Fleet::acquainted(size, 0.0, 7);
        fleet.probes = 0;
        fleet.rumours = 0;
        fleet.run(Duration::from_secs(10));
        assert!(fleet.rumours <= RUMOURS_MAX);
        fleet.probes as f64 / size as f64 / 40.0
    };
    let max = SUCCESSORS as f64 + 1.0;
    assert!(per_round(12) <= max);
    assert!(per_round(120) <= max);
}

#[test]
fn probes_of_one_round_are_bounded_when_all_other_members_are_lost() {
    let mut fleet = Fleet::acquainted(100, 0.0, 3);
    for node in 1..100 {
        fleet.nodes[node].dead = true;
    }
    for _ in 0..1000 {
        fleet.now += ROUND;
        let before = fleet.probes;
        fleet.round();
        // Beside successors and suspects: one random target, one lost member, and addresses from
        // the settings.
        assert!(fleet.probes - before <= SUCCESSORS + SUSPECTS_MAX + 2 + SUCCESSORS);
    }
    for other in 1..100 {
        assert_eq!(fleet.liveness(0, other), Some(Liveness::Lost));
    }
}

#[test]
fn daemon_that_only_some_members_cannot_reach_stays_live() {
    for random_seed in 0..10 {
        let mut fleet = Fleet::acquainted(12, 0.0, random_seed);
        fleet.partitioned.insert((0, 3));
        fleet.run(Duration::from_secs(30));
        assert_eq!(fleet.losses().count(), 0);
        assert_eq!(fleet.liveness(0, 3), Some(Liveness::Live));
    }
}

#[test]
fn partitioned_data_centre_is_live_again_after_the_partition() {
    for random_seed in 0..5 {
        let mut fleet = Fleet::acquainted(30, 0.0, random_seed);
        let is_isolated = |index: usize| index.is_multiple_of(3);
        for node in 0..30 {
            for other in node + 1..30 {
                if is_isolated(node) != is_isolated(other) {
                    fleet.partitioned.insert((node, other));
                }
            }
        }
        fleet.run(Duration::from_secs(30));
        assert_eq!(fleet.liveness(0, 1), Some(Liveness::Lost));
        assert_eq!(fleet.liveness(1, 0), Some(Liveness::Lost));
        assert_eq!(fleet.liveness(0, 3), Some(Liveness::Live));
        fleet.partitioned.clear();
        fleet.run(Duration::from_secs(30));
        for node in 0..30 {
            for other in (0..30).filter(|other| *other != node) {
                let liveness = fleet.liveness(node, other);
                assert_eq!(liveness, Some(Liveness::Live), "{other} as seen by {node}");
            }
        }
    }
}

#[test_case(Liveness::Suspect)]
#[test_case(Liveness::Lost)]
#[test_case(Liveness::Gone)]
fn rumour_alone_makes_no_member_lost(rumoured: Liveness) {
    let now = Instant::now();
    let mut detector = acquainted(now);
    let later = now + Duration::from_secs(2);
    assert_eq!(detector.apply_rumour(later, rumour(3, 0, rumoured)), []);
    assert_eq!(detector.tick(later + Duration::from_mins(1)), []);
    assert_eq!(liveness(&detector, 3), Liveness::Suspect);
    let control = member(3, 1).control;
    let planned = detector.plan(later);
    assert!(planned.iter().any(|target| target.control == control));
}

#[test]
fn fresh_direct_evidence_outranks_rumours() {
    let now = Instant::now();
    let mut detector = acquainted(now);
    detector.apply_rumour(now, rumour(3, 4, Liveness::Lost));
    assert_eq!(liveness(&detector, 3), Liveness::Live);
}

#[test]
fn failed_probe_that_started_before_an_answer_is_ignored() {
    let now = Instant::now();
    let mut detector = acquainted(now);
    let started = now - Duration::from_millis(400);
    assert_eq!(detector.record_failed_probe(now, started, &subject(3)), []);
    assert_eq!(liveness(&detector, 3), Liveness::Live);
}

#[test]
fn suspect_is_lost_when_it_stays_silent_and_live_again_when_it_answers() {
    let now = Instant::now();
    let mut detector = acquainted(now);
    let started = now + Duration::from_millis(1);
    assert_eq!(
        detector.record_failed_probe(started, started, &subject(3)),
        []
    );
    assert_eq!(detector.tick(started + SUSPICION_TIMEOUT / 2), []);
    let lost = detector.tick(started + SUSPICION_TIMEOUT);
    assert_eq!(lost, [Change::Lost(member(3, 1))]);
    let joined = detector.record_answer(started + SUSPICION_TIMEOUT, rumour(3, 0, Liveness::Live));
    assert_eq!(joined, [Change::Joined(member(3, 1))]);
    // The refutation number outranks the rumours that were sent before.
    let rumours = detector.rumours(None);
    assert_eq!(rumours, [rumour(3, 1, Liveness::Live)]);
}

#[test]
fn daemon_refutes_its_own_loss() {
    let now = Instant::now();
    let mut detector = FailureDetector::new(member(0, 1), Vec::new(), 1);
    detector.apply_rumour(now, rumour(0, 6, Liveness::Lost));
    assert_eq!(detector.me(), rumour(0, 7, Liveness::Live));
    let mut other = acquainted(now);
    other.apply_rumour(now, rumour(6, 6, Liveness::Suspect));
    other.apply_rumour(now, rumour(6, 7, Liveness::Live));
    assert_eq!(liveness(&other, 6), Liveness::Live);
}

#[test]
fn later_incarnation_replaces_an_earlier_one() {
    let now = Instant::now();
    let mut detector = acquainted(now);
    let mut next = rumour(3, 0, Liveness::Live);
    next.member = member(3, 2);
    let replaced = Change::Replaced {
        old: member(3, 1),
        new: member(3, 2),
    };
    assert_eq!(detector.apply_rumour(now, next), [replaced]);
    let old = rumour(3, 9, Liveness::Live);
    assert_eq!(detector.record_answer(now, old), []);
    assert_eq!(detector.record_failed_probe(now, now, &subject(3)), []);
    assert_eq!(liveness(&detector, 3), Liveness::Live);
}

#[test]
fn daemon_that_answers_stays_live_without_a_vm_in_the_list() {
    let now = Instant::now();
    let mut detector = acquainted(now);
    detector.update_vms(now, vec![vm(3, false)]);
    assert_eq!(detector.update_vms(now, Vec::new()), []);
    assert_eq!(liveness(&detector, 3), Liveness::Live);
}

#[test]
fn daemon_that_left_the_list_and_does_not_answer_is_gone() {
    let now = Instant::now();
    let mut detector = acquainted(now);
    detector.update_vms(now, vec![vm(3, false)]);
    detector.update_vms(now, Vec::new());
    let started = now + Duration::from_millis(1);
    let changes = detector.record_failed_probe(started, started, &subject(3));
    let member = member(3, 1);
    assert_eq!(
        changes,
        [Change::Lost(member.clone()), Change::Gone(member)]
    );
}

#[test]
fn daemon_that_was_never_listed_is_lost_but_not_gone() {
    let now = Instant::now();
    let mut detector = acquainted(now);
    detector.update_vms(now, vec![vm(6, false)]);
    let started = now + Duration::from_millis(1);
    detector.record_failed_probe(started, started, &subject(3));
    let changes = detector.tick(started + SUSPICION_TIMEOUT);
    assert_eq!(changes, [Change::Lost(member(3, 1))]);
}

/// Guards against a member that is never considered gone here because it left the platform's list
/// before this daemon read the list.
#[test_case(true, rumour(3, 0, Liveness::Gone), Liveness::Gone; "after it was lost here")]
#[test_case(false, rumour(3, 0, Liveness::Gone), Liveness::Gone; "before it was lost here")]
#[test_case(true, rumour(3, 0, Liveness::Lost), Liveness::Lost; "lost is not gone")]
#[test_case(true, Rumour { member: member(3, 0), ..rumour(3, 0, Liveness::Gone) }, Liveness::Lost; "an earlier incarnation")]
fn daemon_that_others_saw_leave_the_list_is_gone(
    lost_first: bool,
    rumoured: Rumour,
    expected: Liveness,
) {
    let now = Instant::now();
    let mut detector = acquainted(now);
    let started = now + Duration::from_millis(1);
    let later = started + SUSPICION_TIMEOUT;
    let mut changes = Vec::new();
    if !lost_first {
        changes.extend(detector.apply_rumour(started, rumoured.clone()));
    }
    changes.extend(detector.record_failed_probe(started, started, &subject(3)));
    changes.extend(detector.tick(later));
    if lost_first {
        changes.extend(detector.apply_rumour(later, rumoured));
    }
    let gone = Change::Gone(member(3, 1));
    assert_eq!(changes.contains(&gone), expected == Liveness::Gone);
    assert_eq!(liveness(&detector, 3), expected);
}

#[test]
fn daemon_that_answers_is_not_gone_despite_rumours() {
    let now = Instant::now();
    let mut detector = acquainted(now);
    assert_eq!(detector.apply_rumour(now, rumour(3, 0, Liveness::Gone)), []);
    detector.record_answer(now, rumour(3, 0, Liveness::Live));
    assert_eq!(detector.tick(now + SUSPICION_TIMEOUT), []);
    assert_eq!(liveness(&detector, 3), Liveness::Live);
    // Rumours from before its answer no longer count.
    let started = now + Duration::from_millis(1);
    detector.record_failed_probe(started, started, &subject(3));
    detector.tick(started + SUSPICION_TIMEOUT);
    assert_eq!(liveness(&detector, 3), Liveness::Lost);
}

#[test]
fn leaving_daemon_is_lost_without_delay() {
    let now = Instant::now();
    let mut detector = acquainted(now);
    detector.update_vms(now, vec![vm(3, true)]);
    let started = now + Duration::from_millis(1);
    let changes = detector.record_failed_probe(started, started, &subject(3));
    assert_eq!(changes, [Change::Lost(member(3, 1))]);
}

#[test]
fn helpers_are_few_and_never_the_subject() {
    let now = Instant::now();
    let mut detector = FailureDetector::new(member(0, 1), Vec::new(), 1);
    for index in 1..40 {
        detector.record_answer(now, rumour(index, 0, Liveness::Live));
    }
    for _ in 0..100 {
        let helpers = detector.helpers(&subject(4));
        assert_eq!(helpers.len(), HELPERS_MAX);
        assert!(!helpers.contains(&member(4, 1).control));
    }
}

//! The failure detector over many seeds, with probes that are only simulated.

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use copperwell_keyspace::Member;
use copperwell_policy::suspicion::{
    CONFIRM, Change, HELPERS, Liveness, RING, RUMOURS_MAX, Rumour, SUSPECTS_MAX, Subject,
    Suspicion, Target, Vm,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use test_case::test_case;
use tokio::time::Instant;

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(250);

/// Time from the start of a probe until it has failed, helpers' probes included.
const FAILURE: Duration = Duration::from_millis(500);

/// Daemons that probe each other and lose a share of what they send.
struct Fleet {
    now: Instant,
    nodes: Vec<Node>,
    loss: f64,
    random: StdRng,
    /// Pairs that cannot reach each other.
    cut: HashSet<(usize, usize)>,
    failures: Vec<Failure>,
    probes: usize,
    rumours: usize,
    changes: Vec<Seen>,
}

struct Node {
    suspicion: Suspicion,
    dead: bool,
}

/// A probe that will have failed.
struct Failure {
    due: Instant,
    begun: Instant,
    node: usize,
    subject: Subject,
}

/// A change that a node told of.
struct Seen {
    at: Instant,
    node: usize,
    change: Change,
}

impl Fleet {
    /// Starts `size` daemons in three data centres; the first one is everybody's seed.
    fn new(size: usize, loss: f64, random_seed: u64) -> Self {
        let nodes = (0..size).map(|index| {
            let seeds = vec![member(0, 1).control];
            Node {
                suspicion: Suspicion::new(member(index, 1), seeds, random_seed + index as u64),
                dead: false,
            }
        });
        Self {
            now: Instant::now(),
            nodes: nodes.collect(),
            loss,
            random: StdRng::seed_from_u64(random_seed),
            cut: HashSet::new(),
            failures: Vec::new(),
            probes: 0,
            rumours: 0,
            changes: Vec::new(),
        }
    }

    /// Starts daemons that know each other already.
    fn acquainted(size: usize, loss: f64, random_seed: u64) -> Self {
        let mut fleet = Self::new(size, loss, random_seed);
        for node in 0..size {
            for other in 0..size {
                let own = fleet.nodes[other].suspicion.me();
                fleet.nodes[node].suspicion.heard(fleet.now, own);
            }
        }
        fleet.run(Duration::from_secs(5));
        fleet.changes.clear();
        fleet
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ROUND;
            self.round();
        }
    }

    fn round(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.failures)
            .into_iter()
            .partition(|failure| failure.due <= now);
        self.failures = later;
        for failure in due {
            let suspicion = &mut self.nodes[failure.node].suspicion;
            let changes = suspicion.failed(now, failure.begun, &failure.subject);
            self.note(failure.node, changes);
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].dead {
                continue;
            }
            let changes = self.nodes[node].suspicion.tick(now);
            self.note(node, changes);
            for target in self.nodes[node].suspicion.plan(now) {
                self.probe(node, target);
            }
        }
    }

    fn probe(&mut self, node: usize, target: Target) {
        self.probes += 1;
        let to = index_of(target.control);
        if self.exchange(node, to) {
            return;
        }
        let Some(subject) = target.subject else {
            return;
        };
        if self.exchange(node, to) {
            return;
        }
        for helper in self.nodes[node].suspicion.helpers(&subject) {
            let helper = index_of(helper);
            if self.exchange(node, helper) && self.exchange(helper, to) {
                let own = self.nodes[to].suspicion.me();
                let changes = self.nodes[node].suspicion.heard(self.now, own);
                self.note(node, changes);
                return;
            }
        }
        self.failures.push(Failure {
            due: self.now + FAILURE,
            begun: self.now,
            node,
            subject,
        });
    }

    /// One probe and its answer; false if one of them was lost.
    fn exchange(&mut self, from: usize, to: usize) -> bool {
        let pair = (from.min(to), from.max(to));
        if self.nodes[to].dead || self.cut.contains(&pair) || !self.passes() {
            return false;
        }
        self.tell(from, to);
        if !self.passes() {
            return false;
        }
        self.tell(to, from);
        true
    }

    fn passes(&mut self) -> bool {
        !self.random.random_bool(self.loss)
    }

    fn tell(&mut self, from: usize, to: usize) {
        let name = self.nodes[to].suspicion.me().member.name;
        let teller = &mut self.nodes[from].suspicion;
        let own = teller.me();
        let rumours = teller.rumours(Some(&name));
        self.rumours = self.rumours.max(rumours.len());
        let mut changes = self.nodes[to].suspicion.heard(self.now, own);
        for rumour in rumours {
            changes.extend(self.nodes[to].suspicion.hear(self.now, rumour));
        }
        self.note(to, changes);
    }

    fn note(&mut self, node: usize, changes: Vec<Change>) {
        let at = self.now;
        let seen = changes.into_iter();
        self.changes
            .extend(seen.map(|change| Seen { at, node, change }));
    }

    fn liveness(&self, node: usize, of: usize) -> Option<Liveness> {
        let name = member(of, 1).name;
        let mut reports = self.nodes[node].suspicion.reports();
        let report = reports.find(|report| report.member.name == name)?;
        Some(report.liveness)
    }

    fn lost(&self) -> impl Iterator<Item = &Seen> {
        let changes = self.changes.iter();
        changes.filter(|seen| matches!(seen.change, Change::Lost(_)))
    }
}

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

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
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

/// A detector that has heard of daemon 3, of the same data centre, at the given time.
fn acquainted(now: Instant) -> Suspicion {
    let mut suspicion = Suspicion::new(member(0, 1), Vec::new(), 1);
    suspicion.heard(now, rumour(3, 0, Liveness::Live));
    suspicion
}

fn liveness(suspicion: &Suspicion, index: usize) -> Liveness {
    let name = member(index, 1).name;
    let mut reports = suspicion.reports();
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
            assert_eq!(fleet.nodes[node].suspicion.reports().count(), size);
        }
        assert_eq!(fleet.lost().count(), 0);
    }
}

#[test_case(12, 20)]
#[test_case(60, 4)]
fn loss_of_a_daemon_is_found_in_about_a_second(size: usize, random_seeds: u64) {
    for random_seed in 0..random_seeds {
        let mut fleet = Fleet::acquainted(size, 0.0, random_seed);
        let killed = fleet.now;
        fleet.nodes[5].dead = true;
        fleet.run(Duration::from_secs(6));
        let first = fleet.lost().map(|seen| seen.at).min().unwrap();
        assert!(first - killed <= Duration::from_millis(1250));
        for node in (0..size).filter(|node| *node != 5) {
            assert_eq!(fleet.liveness(node, 5), Some(Liveness::Lost), "{node}");
        }
        let found = Change::Lost(member(5, 1));
        let others = fleet.lost().filter(|seen| seen.change != found);
        assert_eq!(others.count(), 0);
    }
}

#[test]
fn partner_in_another_data_centre_finds_the_loss_itself() {
    for random_seed in 0..20 {
        let mut fleet = Fleet::acquainted(30, 0.0, random_seed);
        let partners = [member(5, 1).name].into_iter().collect();
        fleet.nodes[0].suspicion.set_partners(partners);
        fleet.run(ROUND);
        let killed = fleet.now;
        fleet.nodes[5].dead = true;
        fleet.run(Duration::from_secs(3));
        let found = fleet.lost().find(|seen| seen.node == 0).unwrap();
        assert!(found.at - killed <= Duration::from_millis(1250));
    }
}

#[test_case(12, 10)]
#[test_case(60, 1)]
fn lost_messages_alone_lose_nobody(size: usize, random_seeds: u64) {
    for random_seed in 0..random_seeds {
        let mut fleet = Fleet::acquainted(size, 0.02, random_seed);
        fleet.run(Duration::from_secs(60));
        assert_eq!(fleet.lost().count(), 0, "seed {random_seed}");
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
    let most = RING as f64 + 1.0;
    assert!(per_round(12) <= most);
    assert!(per_round(120) <= most);
}

#[test]
fn probes_of_one_round_are_bounded_when_everybody_else_is_lost() {
    let mut fleet = Fleet::acquainted(100, 0.0, 3);
    for node in 1..100 {
        fleet.nodes[node].dead = true;
    }
    for _ in 0..1000 {
        fleet.now += ROUND;
        let before = fleet.probes;
        fleet.round();
        // One chosen at random, one lost, and addresses from settings come on top.
        assert!(fleet.probes - before <= RING + SUSPECTS_MAX + 2 + RING);
    }
    for other in 1..100 {
        assert_eq!(fleet.liveness(0, other), Some(Liveness::Lost));
    }
}

#[test]
fn daemon_that_only_some_cannot_reach_stays_live() {
    for random_seed in 0..10 {
        let mut fleet = Fleet::acquainted(12, 0.0, random_seed);
        fleet.cut.insert((0, 3));
        fleet.run(Duration::from_secs(30));
        assert_eq!(fleet.lost().count(), 0);
        assert_eq!(fleet.liveness(0, 3), Some(Liveness::Live));
    }
}

#[test]
fn data_centre_that_was_cut_off_comes_back() {
    for random_seed in 0..5 {
        let mut fleet = Fleet::acquainted(30, 0.0, random_seed);
        let apart = |index: usize| index.is_multiple_of(3);
        for one in 0..30 {
            for other in one + 1..30 {
                if apart(one) != apart(other) {
                    fleet.cut.insert((one, other));
                }
            }
        }
        fleet.run(Duration::from_secs(30));
        assert_eq!(fleet.liveness(0, 1), Some(Liveness::Lost));
        assert_eq!(fleet.liveness(1, 0), Some(Liveness::Lost));
        assert_eq!(fleet.liveness(0, 3), Some(Liveness::Live));
        fleet.cut.clear();
        fleet.run(Duration::from_secs(30));
        for node in 0..30 {
            for other in (0..30).filter(|other| *other != node) {
                let liveness = fleet.liveness(node, other);
                assert_eq!(liveness, Some(Liveness::Live), "{node} of {other}");
            }
        }
    }
}

#[test_case(Liveness::Suspect)]
#[test_case(Liveness::Lost)]
#[test_case(Liveness::Gone)]
fn rumour_alone_loses_nobody(said: Liveness) {
    let now = Instant::now();
    let mut suspicion = acquainted(now);
    let later = now + Duration::from_secs(2);
    assert_eq!(suspicion.hear(later, rumour(3, 0, said)), []);
    assert_eq!(suspicion.tick(later + Duration::from_mins(1)), []);
    assert_eq!(liveness(&suspicion, 3), Liveness::Suspect);
    let control = member(3, 1).control;
    let planned = suspicion.plan(later);
    assert!(planned.iter().any(|target| target.control == control));
}

#[test]
fn fresh_direct_evidence_outranks_rumours() {
    let now = Instant::now();
    let mut suspicion = acquainted(now);
    suspicion.hear(now, rumour(3, 4, Liveness::Lost));
    assert_eq!(liveness(&suspicion, 3), Liveness::Live);
}

#[test]
fn failed_probe_that_began_before_a_sign_of_life_says_nothing() {
    let now = Instant::now();
    let mut suspicion = acquainted(now);
    let begun = now - Duration::from_millis(400);
    assert_eq!(suspicion.failed(now, begun, &subject(3)), []);
    assert_eq!(liveness(&suspicion, 3), Liveness::Live);
}

#[test]
fn suspect_is_lost_when_it_stays_silent_and_back_when_it_answers() {
    let now = Instant::now();
    let mut suspicion = acquainted(now);
    let begun = now + Duration::from_millis(1);
    assert_eq!(suspicion.failed(begun, begun, &subject(3)), []);
    assert_eq!(suspicion.tick(begun + CONFIRM / 2), []);
    let lost = suspicion.tick(begun + CONFIRM);
    assert_eq!(lost, [Change::Lost(member(3, 1))]);
    let back = suspicion.heard(begun + CONFIRM, rumour(3, 0, Liveness::Live));
    assert_eq!(back, [Change::Back(member(3, 1))]);
    // What it says from here on outbids what was spread before.
    let told = suspicion.rumours(None);
    assert_eq!(told, [rumour(3, 1, Liveness::Live)]);
}

#[test]
fn daemon_refutes_its_own_loss() {
    let now = Instant::now();
    let mut suspicion = Suspicion::new(member(0, 1), Vec::new(), 1);
    suspicion.hear(now, rumour(0, 6, Liveness::Lost));
    assert_eq!(suspicion.me(), rumour(0, 7, Liveness::Live));
    let mut other = acquainted(now);
    other.hear(now, rumour(6, 6, Liveness::Suspect));
    other.hear(now, rumour(6, 7, Liveness::Live));
    assert_eq!(liveness(&other, 6), Liveness::Live);
}

#[test]
fn later_run_replaces_an_earlier_one() {
    let now = Instant::now();
    let mut suspicion = acquainted(now);
    let mut next = rumour(3, 0, Liveness::Live);
    next.member = member(3, 2);
    let replaced = Change::Replaced {
        old: member(3, 1),
        new: member(3, 2),
    };
    assert_eq!(suspicion.hear(now, next), [replaced]);
    let old = rumour(3, 9, Liveness::Live);
    assert_eq!(suspicion.heard(now, old), []);
    assert_eq!(suspicion.failed(now, now, &subject(3)), []);
    assert_eq!(liveness(&suspicion, 3), Liveness::Live);
}

#[test]
fn daemon_that_answers_stays_live_without_a_vm_in_the_list() {
    let now = Instant::now();
    let mut suspicion = acquainted(now);
    suspicion.list(now, vec![vm(3, false)]);
    assert_eq!(suspicion.list(now, Vec::new()), []);
    assert_eq!(liveness(&suspicion, 3), Liveness::Live);
}

#[test]
fn daemon_that_left_the_list_and_does_not_answer_is_gone() {
    let now = Instant::now();
    let mut suspicion = acquainted(now);
    suspicion.list(now, vec![vm(3, false)]);
    suspicion.list(now, Vec::new());
    let begun = now + Duration::from_millis(1);
    let changes = suspicion.failed(begun, begun, &subject(3));
    let member = member(3, 1);
    assert_eq!(
        changes,
        [Change::Lost(member.clone()), Change::Gone(member)]
    );
}

#[test]
fn daemon_that_was_never_listed_is_lost_but_not_gone() {
    let now = Instant::now();
    let mut suspicion = acquainted(now);
    suspicion.list(now, vec![vm(6, false)]);
    let begun = now + Duration::from_millis(1);
    suspicion.failed(begun, begun, &subject(3));
    let changes = suspicion.tick(begun + CONFIRM);
    assert_eq!(changes, [Change::Lost(member(3, 1))]);
}

/// What a daemon says of a member that left the list before this one saw it there.
#[test_case(true, rumour(3, 0, Liveness::Gone), Liveness::Gone; "after it was lost here")]
#[test_case(false, rumour(3, 0, Liveness::Gone), Liveness::Gone; "before it was lost here")]
#[test_case(true, rumour(3, 0, Liveness::Lost), Liveness::Lost; "lost is not gone")]
#[test_case(true, Rumour { member: member(3, 0), ..rumour(3, 0, Liveness::Gone) }, Liveness::Lost; "an earlier run")]
fn daemon_that_others_saw_leave_the_list_is_gone(
    lost_first: bool,
    said: Rumour,
    expected: Liveness,
) {
    let now = Instant::now();
    let mut suspicion = acquainted(now);
    let begun = now + Duration::from_millis(1);
    let later = begun + CONFIRM;
    let mut changes = Vec::new();
    if !lost_first {
        changes.extend(suspicion.hear(begun, said.clone()));
    }
    changes.extend(suspicion.failed(begun, begun, &subject(3)));
    changes.extend(suspicion.tick(later));
    if lost_first {
        changes.extend(suspicion.hear(later, said));
    }
    let gone = Change::Gone(member(3, 1));
    assert_eq!(changes.contains(&gone), expected == Liveness::Gone);
    assert_eq!(liveness(&suspicion, 3), expected);
}

#[test]
fn daemon_that_answers_is_not_gone_whatever_others_say() {
    let now = Instant::now();
    let mut suspicion = acquainted(now);
    assert_eq!(suspicion.hear(now, rumour(3, 0, Liveness::Gone)), []);
    suspicion.heard(now, rumour(3, 0, Liveness::Live));
    assert_eq!(suspicion.tick(now + CONFIRM), []);
    assert_eq!(liveness(&suspicion, 3), Liveness::Live);
    // What was said before it answered does not count any more.
    let begun = now + Duration::from_millis(1);
    suspicion.failed(begun, begun, &subject(3));
    suspicion.tick(begun + CONFIRM);
    assert_eq!(liveness(&suspicion, 3), Liveness::Lost);
}

#[test]
fn leaving_daemon_is_lost_without_delay() {
    let now = Instant::now();
    let mut suspicion = acquainted(now);
    suspicion.list(now, vec![vm(3, true)]);
    let begun = now + Duration::from_millis(1);
    let changes = suspicion.failed(begun, begun, &subject(3));
    assert_eq!(changes, [Change::Lost(member(3, 1))]);
}

#[test]
fn helpers_are_few_and_never_the_subject() {
    let now = Instant::now();
    let mut suspicion = Suspicion::new(member(0, 1), Vec::new(), 1);
    for index in 1..40 {
        suspicion.heard(now, rumour(index, 0, Liveness::Live));
    }
    for _ in 0..100 {
        let helpers = suspicion.helpers(&subject(4));
        assert_eq!(helpers.len(), HELPERS);
        assert!(!helpers.contains(&member(4, 1).control));
    }
}

//! Tests that no key runs twice and none that ran is reported as not run, across leader changes.

use std::time::{Duration, SystemTime};

use copperwell_message::{Reason, Reply, Verdict};
use copperwell_policy::window::{
    ANSWER_BYTES_MAX, ANSWERS_BYTES_MAX, Answer, CLOCK_SKEW_MAX, Claim, EXPORT_ANSWERS_BYTES_MAX,
    Export, ExportEntry, KeptAnswer, Outcome, Tenure, Term, Ticket, Window,
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use test_case::test_case;
use uuid::{NoContext, Timestamp, Uuid};

const LENGTH: Duration = Duration::from_secs(10);
const SHARD: u32 = 3;
const KEYS: usize = 12;

#[derive(Debug, Clone)]
enum Action {
    /// Time advances by this many milliseconds.
    Advance(u64),
    /// A caller creates a new key; its clock is off by this many milliseconds.
    CreateKey(usize, i64),
    /// A caller sends a key to the leader, whose clock is off by this many milliseconds.
    Request(usize, i64),
    /// The leader sends an unsent request to the server, if it may.
    Send(usize),
    /// The leader learns the outcome of a request.
    Finish(usize, u8),
    /// The leader hands over to the other daemon as planned.
    HandOver,
    /// The other daemon starts to take over without the entries of the leader.
    StartTakeover,
    /// The takeover completes; until now the old leader may run keys.
    CompleteTakeover,
    /// The leader's process crashes, and the other daemon takes over without its entries.
    Crash,
    /// The shard moves to the other daemon's group, whose leader stays the same.
    MoveShard,
    /// The last export arrives again, at either daemon.
    RepeatImport(usize),
}

/// Simulates two daemons that alternate in leading one shard.
struct Simulation {
    now: SystemTime,
    windows: [Window; 2],
    acquisitions: [u64; 2],
    leader: usize,
    led_at: SystemTime,
    /// Whether the other daemon is taking over, while the shard has no owner under it yet.
    taking_over: bool,
    epochs: [u64; 2],
    last_epoch: u64,
    exported: Option<Export>,
    keys: Vec<Key>,
}

#[derive(Clone, Copy)]
struct Key {
    id: Uuid,
    runs: u32,
    entry: Option<Running>,
}

/// The daemon that admitted a request, and whether the request was sent.
#[derive(Clone, Copy)]
struct Running {
    daemon: usize,
    ticket: Ticket,
    term: Term,
    sent: bool,
}

fn skewed(time: SystemTime, skew_ms: i64) -> SystemTime {
    let skew = Duration::from_millis(skew_ms.unsigned_abs());
    if skew_ms < 0 {
        time - skew
    } else {
        time + skew
    }
}

fn new_key(created: SystemTime) -> Key {
    let since = created.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let timestamp = Timestamp::from_unix(NoContext, since.as_secs(), since.subsec_nanos());
    Key {
        id: Uuid::new_v7(timestamp),
        runs: 0,
        entry: None,
    }
}

impl Simulation {
    fn new() -> Self {
        let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000);
        Self {
            now,
            windows: [Window::new(LENGTH), Window::new(LENGTH)],
            acquisitions: [1, 0],
            leader: 0,
            led_at: now,
            taking_over: false,
            epochs: [2, 0],
            last_epoch: 2,
            exported: None,
            keys: vec![new_key(now); KEYS],
        }
    }

    fn claim(&self, id: Uuid) -> Claim {
        let term = Term {
            acquisition: self.acquisitions[self.leader],
            epoch: Some(self.epochs[self.leader]),
        };
        Claim {
            id,
            shard: SHARD,
            tenure: Tenure {
                term,
                length: self.now.duration_since(self.led_at).unwrap(),
            },
            fingerprint: 7,
        }
    }

    fn request(&mut self, index: usize, skew: i64) -> Result<(), TestCaseError> {
        let mut claim = self.claim(self.keys[index].id);
        let mut daemon = self.leader;
        if self.taking_over && skew % 2 == 0 {
            daemon = 1 - daemon;
            claim.tenure.term = Term {
                acquisition: self.acquisitions[daemon],
                epoch: None,
            };
        }
        let answer = self.windows[daemon].claim(claim, skewed(self.now, skew));
        let key = &mut self.keys[index];
        match answer {
            Answer::Run(ticket) => {
                let term = self.windows[daemon].term(SHARD).unwrap();
                key.entry = Some(Running {
                    daemon,
                    ticket,
                    term,
                    sent: false,
                });
                if skew % 3 > 0 {
                    self.send(index);
                }
            }
            Answer::Refused(refusal) if refusal.verdict == Verdict::NotRun => {
                prop_assert_eq!(key.runs, 0, "reported as not run: {:?}", refusal);
            }
            Answer::Join => prop_assert!(key.entry.is_some()),
            Answer::Refused(_) | Answer::Kept(_) | Answer::Wait => {}
        }
        prop_assert!(self.keys[index].runs <= 1, "ran twice");
        Ok(())
    }

    /// Sends a request, if its daemon still leads in the term in which the request was admitted.
    fn send(&mut self, index: usize) {
        let Some(mut entry) = self.keys[index].entry else {
            return;
        };
        let current = self.claim(self.keys[index].id).tenure.term;
        let may_send = entry.daemon == self.leader && entry.term.is_same(current) && !entry.sent;
        if may_send && self.windows[entry.daemon].mark_sent(entry.ticket) {
            entry.sent = true;
            self.keys[index].runs += 1;
            self.keys[index].entry = Some(entry);
        }
    }

    fn finish(&mut self, index: usize, outcome: u8) {
        let key = &mut self.keys[index];
        let Some(entry) = key.entry.take() else {
            return;
        };
        let reported = match outcome {
            _ if !entry.sent => Outcome::NotRun,
            0 => Outcome::NotRun,
            1 => Outcome::Done { status: 200 },
            _ => Outcome::MayHaveRun {
                reason: Reason::ConnectionLost,
            },
        };
        // An exported entry keeps its unknown outcome, whatever the old leader learns later.
        key.runs -= u32::from(entry.sent && outcome == 0);
        self.windows[entry.daemon].finish(entry.ticket, reported);
    }

    /// Makes the other daemon the leader, under an epoch that is higher by `step`.
    fn change_leader(&mut self, step: u64) {
        self.acquisitions[1 - self.leader] += 1;
        self.complete_takeover(step);
    }

    /// Completes a takeover: the other daemon has fenced the server, so the old leader can no
    /// longer run requests.
    fn complete_takeover(&mut self, step: u64) {
        self.taking_over = false;
        self.leader = 1 - self.leader;
        self.led_at = self.now;
        self.last_epoch += step;
        self.epochs[self.leader] = self.last_epoch;
    }

    fn export(&mut self) {
        let tenure = self.claim(self.keys[0].id).tenure;
        let window = &mut self.windows[self.leader];
        let next = self.last_epoch + 1;
        let export = window.export(&"payouts".into(), next, &[SHARD], |_| tenure, self.now);
        self.exported = Some(export);
    }

    fn import(&mut self, daemon: usize) {
        if let Some(export) = self.exported.clone() {
            let is_next_acquisition = daemon != self.leader && !self.taking_over;
            let acquisition = self.acquisitions[daemon] + u64::from(is_next_acquisition);
            self.windows[daemon].import(export, |_| acquisition, self.now);
        }
    }

    fn run(&mut self, action: Action) -> Result<(), TestCaseError> {
        let is_change = matches!(
            action,
            Action::HandOver | Action::StartTakeover | Action::Crash | Action::MoveShard
        );
        if self.taking_over && is_change {
            self.complete_takeover(2);
        }
        match action {
            Action::Advance(milliseconds) => self.now += Duration::from_millis(milliseconds),
            Action::CreateKey(index, skew) => self.keys[index] = new_key(skewed(self.now, skew)),
            Action::Request(index, skew) => self.request(index, skew)?,
            Action::Send(index) => {
                self.send(index);
                prop_assert!(self.keys[index].runs <= 1, "ran twice");
            }
            Action::Finish(index, outcome) => self.finish(index, outcome),
            Action::HandOver => {
                self.export();
                self.import(1 - self.leader);
                self.change_leader(1);
            }
            Action::CompleteTakeover => {
                if self.taking_over {
                    self.complete_takeover(2);
                }
            }
            Action::StartTakeover => {
                self.taking_over = true;
                self.acquisitions[1 - self.leader] += 1;
            }
            Action::Crash => {
                self.windows[self.leader] = Window::new(LENGTH);
                self.acquisitions[self.leader] = 0;
                // A restarted daemon leads nothing under an epoch of its previous incarnation.
                self.epochs[self.leader] = 0;
                self.change_leader(2);
            }
            Action::MoveShard if self.epochs[1 - self.leader] > 0 => {
                self.leader = 1 - self.leader;
                self.led_at = self.now;
                self.acquisitions[self.leader] += 1;
            }
            Action::MoveShard => {}
            Action::RepeatImport(daemon) => self.import(daemon),
        }
        Ok(())
    }
}

fn action() -> impl Strategy<Value = Action> {
    let skew_max = CLOCK_SKEW_MAX.as_millis() as i64 / 2;
    let skew = -skew_max..=skew_max;
    // A caller's clock may be further off; the leader refuses keys too far ahead of its own.
    let caller_skew = -4 * skew_max..=4 * skew_max;
    let index = 0..KEYS;
    prop_oneof![
        4 => prop_oneof![0..50_u64, 300..2_000_u64, 5_000..12_000_u64].prop_map(Action::Advance),
        3 => (index.clone(), caller_skew).prop_map(|(index, skew)| Action::CreateKey(index, skew)),
        8 => (index.clone(), skew).prop_map(|(index, skew)| Action::Request(index, skew)),
        2 => index.clone().prop_map(Action::Send),
        3 => (index, 0..3_u8).prop_map(|(index, outcome)| Action::Finish(index, outcome)),
        1 => Just(Action::HandOver),
        1 => Just(Action::StartTakeover),
        1 => Just(Action::CompleteTakeover),
        1 => Just(Action::Crash),
        1 => Just(Action::MoveShard),
        1 => (0..2_usize).prop_map(Action::RepeatImport),
    ]
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
    #![proptest_config(config(1500))]

    #[test]
    fn no_key_runs_twice(actions in vec(action(), 0..120)) {
        let mut simulation = Simulation::new();
        for action in actions {
            simulation.run(action)?;
        }
    }
}

#[test_case(&[
    Action::Request(0, 0), Action::StartTakeover, Action::CompleteTakeover, Action::Request(0, 0),
    Action::Advance(5000), Action::CreateKey(5, 0), Action::Request(5, 0), Action::Crash,
    Action::HandOver, Action::Request(5, 0),
]; "a leader that admitted no key does not export the shard as known")]
#[test_case(&[
    Action::HandOver, Action::Request(0, 0), Action::MoveShard, Action::Request(0, 0),
    Action::Advance(2000), Action::CreateKey(1, 0), Action::Request(1, 0),
    Action::RepeatImport(1), Action::MoveShard, Action::Request(1, 0),
]; "a repeated import is ignored")]
fn no_key_runs_twice_after(actions: &[Action]) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new();
    actions
        .iter()
        .try_for_each(|action| simulation.run(action.clone()))
}

/// Returns a window that knows all new keys, and the ticket of a key that may run.
fn running() -> (Window, Simulation, Ticket) {
    let mut simulation = Simulation::new();
    let mut window = Window::new(LENGTH).with_keys_max(2);
    window.claim(simulation.claim(simulation.keys[0].id), simulation.now);
    simulation.now += Duration::from_secs(2);
    simulation.keys[0] = new_key(simulation.now);
    let answer = window.claim(simulation.claim(simulation.keys[0].id), simulation.now);
    let Answer::Run(ticket) = answer else {
        panic!("{answer:?}");
    };
    (window, simulation, ticket)
}

#[test]
fn full_window_refuses_new_keys_and_drops_none() {
    let (mut window, simulation, _) = running();
    let second = new_key(simulation.now).id;
    let answer = window.claim(simulation.claim(second), simulation.now);
    assert!(matches!(answer, Answer::Run(_)));
    let third = window.claim(simulation.claim(new_key(simulation.now).id), simulation.now);
    assert!(matches!(third, Answer::Refused(refusal)
        if (refusal.verdict, refusal.reason) == (Verdict::NotRun, Reason::ServiceLimit)));
    assert_eq!(
        window.claim(simulation.claim(second), simulation.now),
        Answer::Join
    );
}

#[test]
fn clock_that_jumps_ahead_and_back_lets_no_key_run_again() {
    let (mut window, simulation, ticket) = running();
    let id = simulation.keys[0].id;
    window.finish(ticket, Outcome::Done { status: 200 });
    let ahead = simulation.now + Duration::from_hours(1);
    window.claim(simulation.claim(new_key(ahead).id), ahead);
    let again = window.claim(simulation.claim(id), simulation.now);
    assert!(matches!(again, Answer::Refused(refusal) if refusal.verdict == Verdict::MayHaveRun));
}

#[test]
fn kept_answers_are_bounded_and_the_oldest_are_dropped_first() {
    let mut simulation = Simulation::new();
    let mut window = Window::new(LENGTH);
    window.claim(simulation.claim(simulation.keys[0].id), simulation.now);
    simulation.now += Duration::from_secs(2);
    let keys = 2 * ANSWERS_BYTES_MAX / ANSWER_BYTES_MAX;
    let ids: Vec<Uuid> = (0..keys).map(|_| new_key(simulation.now).id).collect();
    for id in &ids {
        let Answer::Run(ticket) = window.claim(simulation.claim(*id), simulation.now) else {
            panic!("a new key was refused");
        };
        let reply = Reply {
            status: 201,
            headers: Vec::new(),
            verdict: Verdict::Done,
            reason: None,
            retry_after: None,
        };
        let body = vec![0; ANSWER_BYTES_MAX - size_of::<KeptAnswer>()];
        window.finish(
            ticket,
            Outcome::Answered(Box::new(KeptAnswer { reply, body })),
        );
    }
    let first = window.claim(simulation.claim(ids[0]), simulation.now);
    assert_eq!(first, Answer::Kept(Outcome::Done { status: 201 }));
    let last = window.claim(simulation.claim(ids[keys - 1]), simulation.now);
    assert!(matches!(last, Answer::Kept(Outcome::Answered(_))));
    let tenure = simulation.claim(ids[0]).tenure;
    let export = window.export(&"payouts".into(), 3, &[SHARD], |_| tenure, simulation.now);
    let has_answer = |entry: &&ExportEntry| matches!(entry.outcome, Outcome::Answered(_));
    let kept = export.entries.iter().filter(has_answer).count();
    assert_eq!(kept, EXPORT_ANSWERS_BYTES_MAX / ANSWER_BYTES_MAX);
    assert_eq!(export.entries.len(), keys);
    assert!(window.is_empty());
}

#[test]
fn unsent_request_may_not_be_sent_after_its_shard_is_exported() {
    let (mut window, simulation, ticket) = running();
    let claim = simulation.claim(simulation.keys[0].id);
    let exported = window.export(
        &"payouts".into(),
        3,
        &[SHARD],
        |_| claim.tenure,
        simulation.now,
    );
    assert!(exported.entries.is_empty());
    assert!(!window.mark_sent(ticket));

    // The daemon leads again, and the key gets a new entry.
    window.import(exported, |_| 2, simulation.now);
    let mut again = claim;
    again.tenure.term = Term {
        acquisition: 2,
        epoch: Some(3),
    };
    let answer = window.claim(again, simulation.now);
    let Answer::Run(later) = answer else {
        panic!("{answer:?}");
    };
    window.finish(ticket, Outcome::NotRun);
    assert_eq!(window.claim(again, simulation.now), Answer::Join);

    // An imported outcome replaces an unsent entry.
    let outcome = Outcome::Done { status: 200 };
    let export = Export {
        service: "payouts".into(),
        next: 5,
        shards: Vec::new(),
        entries: vec![ExportEntry {
            id: claim.id,
            shard: SHARD,
            fingerprint: claim.fingerprint,
            outcome: outcome.clone(),
        }],
    };
    window.import(export, |_| 3, simulation.now);
    assert!(!window.mark_sent(later));
    assert_eq!(window.claim(again, simulation.now), Answer::Kept(outcome));
}

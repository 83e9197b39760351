//! No key runs twice, and none that ran is told as not run, whatever becomes of its leaders.

use std::time::{Duration, SystemTime};

use copperwell_message::{Reason, Reply, Verdict};
use copperwell_policy::window::{
    ANSWER_MAX, ANSWERS_EXPORT_MAX, ANSWERS_MAX, Answer, CLOCK_DIFFERENCE, Claim, Export,
    ExportEntry, Outcome, Tenure, Term, Ticket, Whole, Window,
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use test_case::test_case;
use uuid::{NoContext, Timestamp, Uuid};

const LENGTH: Duration = Duration::from_secs(10);
const SHARD: u32 = 3;
const KEYS: usize = 12;

#[derive(Debug, Clone)]
enum Act {
    /// Time passes, in milliseconds.
    Pass(u64),
    /// A caller whose clock is off makes a new key.
    Make(usize, i64),
    /// A caller sends a key to the leader, whose clock is off.
    Send(usize, i64),
    /// A request that waited leaves, if it may.
    Leave(usize),
    /// The leader hears how a request ended.
    End(usize, u8),
    /// The leader hands over to the other daemon as planned.
    HandOver,
    /// The other daemon is about to take over and knows nothing.
    TakeOver,
    /// It does; until now the old leader lets keys run.
    Fence,
    /// The leader's process is lost, and the other daemon takes over and knows nothing.
    Lose,
    /// The shard moves to the other daemon's group, whose leader stays the same.
    Move,
    /// The last hand-over arrives once more, at either daemon.
    Repeat(usize),
}

/// Two daemons that take turns in leading one shard.
struct World {
    now: SystemTime,
    windows: [Window; 2],
    turns: [u64; 2],
    leader: usize,
    led_at: SystemTime,
    /// Whether the other daemon is about to lead but has no owner for the shard.
    taking: bool,
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

/// Where a request was entered, and whether it has left.
#[derive(Clone, Copy)]
struct Running {
    at: usize,
    ticket: Ticket,
    term: Term,
    left: bool,
}

fn off(time: SystemTime, milliseconds: i64) -> SystemTime {
    let by = Duration::from_millis(milliseconds.unsigned_abs());
    if milliseconds < 0 {
        time - by
    } else {
        time + by
    }
}

fn key(made: SystemTime) -> Key {
    let since = made.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let at = Timestamp::from_unix(NoContext, since.as_secs(), since.subsec_nanos());
    Key {
        id: Uuid::new_v7(at),
        runs: 0,
        entry: None,
    }
}

impl World {
    fn new() -> Self {
        let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000);
        Self {
            now,
            windows: [Window::new(LENGTH), Window::new(LENGTH)],
            turns: [1, 0],
            leader: 0,
            led_at: now,
            taking: false,
            epochs: [2, 0],
            last_epoch: 2,
            exported: None,
            keys: vec![key(now); KEYS],
        }
    }

    fn claim(&self, id: Uuid) -> Claim {
        let term = Term {
            turn: self.turns[self.leader],
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

    fn send(&mut self, index: usize, skew: i64) -> Result<(), TestCaseError> {
        let mut claim = self.claim(self.keys[index].id);
        let mut at = self.leader;
        if self.taking && skew % 2 == 0 {
            at = 1 - at;
            claim.tenure.term = Term {
                turn: self.turns[at],
                epoch: None,
            };
        }
        let answer = self.windows[at].claim(claim, off(self.now, skew));
        let key = &mut self.keys[index];
        match answer {
            Answer::Run(ticket) => {
                let term = self.windows[at].term(SHARD).unwrap();
                key.entry = Some(Running {
                    at,
                    ticket,
                    term,
                    left: false,
                });
                if skew % 3 > 0 {
                    self.leave(index);
                }
            }
            Answer::Refused(refusal) if refusal.verdict == Verdict::NotRun => {
                prop_assert_eq!(key.runs, 0, "told as not run: {:?}", refusal);
            }
            Answer::Join => prop_assert!(key.entry.is_some()),
            Answer::Refused(_) | Answer::Kept(_) | Answer::Wait => {}
        }
        prop_assert!(self.keys[index].runs <= 1, "ran twice");
        Ok(())
    }

    /// Lets a request leave, if its daemon leads in the stretch in which it was entered.
    fn leave(&mut self, index: usize) {
        let Some(mut entry) = self.keys[index].entry else {
            return;
        };
        let now = self.claim(self.keys[index].id).tenure.term;
        let may = entry.at == self.leader && entry.term.is_same(now) && !entry.left;
        if may && self.windows[entry.at].leave(entry.ticket) {
            entry.left = true;
            self.keys[index].runs += 1;
            self.keys[index].entry = Some(entry);
        }
    }

    fn end(&mut self, index: usize, how: u8) {
        let key = &mut self.keys[index];
        let Some(entry) = key.entry.take() else {
            return;
        };
        let outcome = match how {
            _ if !entry.left => Outcome::NotRun,
            0 => Outcome::NotRun,
            1 => Outcome::Done { status: 200 },
            _ => Outcome::MayHaveRun {
                reason: Reason::ConnectionLost,
            },
        };
        // What was handed over stays in doubt, whatever its old leader hears.
        key.runs -= u32::from(entry.left && how == 0);
        self.windows[entry.at].finish(entry.ticket, outcome);
    }

    /// The other daemon leads from here on, under an epoch that is higher by `step`.
    fn change(&mut self, step: u64) {
        self.turns[1 - self.leader] += 1;
        self.fence(step);
    }

    /// The other daemon has fenced the server, so the old leader lets nothing run any more.
    fn fence(&mut self, step: u64) {
        self.taking = false;
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

    fn import(&mut self, at: usize) {
        if let Some(export) = self.exported.clone() {
            let elsewhere = at != self.leader && !self.taking;
            let turn = self.turns[at] + u64::from(elsewhere);
            self.windows[at].import(export, |_| turn, self.now);
        }
    }

    fn act(&mut self, act: Act) -> Result<(), TestCaseError> {
        let is_change = matches!(act, Act::HandOver | Act::TakeOver | Act::Lose | Act::Move);
        if self.taking && is_change {
            self.fence(2);
        }
        match act {
            Act::Pass(milliseconds) => self.now += Duration::from_millis(milliseconds),
            Act::Make(index, skew) => self.keys[index] = key(off(self.now, skew)),
            Act::Send(index, skew) => self.send(index, skew)?,
            Act::Leave(index) => {
                self.leave(index);
                prop_assert!(self.keys[index].runs <= 1, "ran twice");
            }
            Act::End(index, how) => self.end(index, how),
            Act::HandOver => {
                self.export();
                self.import(1 - self.leader);
                self.change(1);
            }
            Act::Fence => {
                if self.taking {
                    self.fence(2);
                }
            }
            Act::TakeOver => {
                self.taking = true;
                self.turns[1 - self.leader] += 1;
            }
            Act::Lose => {
                self.windows[self.leader] = Window::new(LENGTH);
                self.turns[self.leader] = 0;
                // A new run of a daemon leads nothing under an epoch of the run before.
                self.epochs[self.leader] = 0;
                self.change(2);
            }
            Act::Move if self.epochs[1 - self.leader] > 0 => {
                self.leader = 1 - self.leader;
                self.led_at = self.now;
                self.turns[self.leader] += 1;
            }
            Act::Move => {}
            Act::Repeat(at) => self.import(at),
        }
        Ok(())
    }
}

fn act() -> impl Strategy<Value = Act> {
    let most = CLOCK_DIFFERENCE.as_millis() as i64 / 2;
    let skew = -most..=most;
    // A caller's clock may be off further; the leader refuses what it sees as too far ahead.
    let off = -4 * most..=4 * most;
    let index = 0..KEYS;
    prop_oneof![
        4 => prop_oneof![0..50_u64, 300..2_000_u64, 5_000..12_000_u64].prop_map(Act::Pass),
        3 => (index.clone(), off).prop_map(|(index, off)| Act::Make(index, off)),
        8 => (index.clone(), skew).prop_map(|(index, skew)| Act::Send(index, skew)),
        2 => index.clone().prop_map(Act::Leave),
        3 => (index, 0..3_u8).prop_map(|(index, how)| Act::End(index, how)),
        1 => Just(Act::HandOver),
        1 => Just(Act::TakeOver),
        1 => Just(Act::Fence),
        1 => Just(Act::Lose),
        1 => Just(Act::Move),
        1 => (0..2_usize).prop_map(Act::Repeat),
    ]
}

/// Cases from a fixed seed.
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
    fn no_key_runs_twice(acts in vec(act(), 0..120)) {
        let mut world = World::new();
        for act in acts {
            world.act(act)?;
        }
    }
}

#[test_case(&[
    Act::Send(0, 0), Act::TakeOver, Act::Fence, Act::Send(0, 0), Act::Pass(5000),
    Act::Make(5, 0), Act::Send(5, 0), Act::Lose, Act::HandOver, Act::Send(5, 0),
]; "a leader that took no key hands over no claim to know them")]
#[test_case(&[
    Act::HandOver, Act::Send(0, 0), Act::Move, Act::Send(0, 0), Act::Pass(2000),
    Act::Make(1, 0), Act::Send(1, 0), Act::Repeat(1), Act::Move, Act::Send(1, 0),
]; "a hand-over that comes twice is left")]
fn no_key_runs_twice_after(acts: &[Act]) -> Result<(), TestCaseError> {
    let mut world = World::new();
    acts.iter().try_for_each(|act| world.act(act.clone()))
}

/// A window that leads and knows new keys, and a key that it lets run.
fn running() -> (Window, World, Ticket) {
    let mut world = World::new();
    let mut window = Window::new(LENGTH).with_keys(2);
    window.claim(world.claim(world.keys[0].id), world.now);
    world.now += Duration::from_secs(2);
    world.keys[0] = key(world.now);
    let answer = window.claim(world.claim(world.keys[0].id), world.now);
    let Answer::Run(ticket) = answer else {
        panic!("{answer:?}");
    };
    (window, world, ticket)
}

#[test]
fn a_full_window_refuses_new_keys_and_forgets_none() {
    let (mut window, world, _) = running();
    let second = key(world.now).id;
    let answer = window.claim(world.claim(second), world.now);
    assert!(matches!(answer, Answer::Run(_)));
    let third = window.claim(world.claim(key(world.now).id), world.now);
    assert!(matches!(third, Answer::Refused(refusal)
        if (refusal.verdict, refusal.reason) == (Verdict::NotRun, Reason::ServiceLimit)));
    assert_eq!(window.claim(world.claim(second), world.now), Answer::Join);
}

#[test]
fn a_clock_that_jumps_ahead_and_back_lets_nothing_run_again() {
    let (mut window, world, ticket) = running();
    let id = world.keys[0].id;
    window.finish(ticket, Outcome::Done { status: 200 });
    let ahead = world.now + Duration::from_hours(1);
    window.claim(world.claim(key(ahead).id), ahead);
    let again = window.claim(world.claim(id), world.now);
    assert!(matches!(again, Answer::Refused(refusal) if refusal.verdict == Verdict::MayHaveRun));
}

#[test]
fn kept_answers_are_bounded_and_the_oldest_go_first() {
    let mut world = World::new();
    let mut window = Window::new(LENGTH);
    window.claim(world.claim(world.keys[0].id), world.now);
    world.now += Duration::from_secs(2);
    let keys = 2 * ANSWERS_MAX / ANSWER_MAX;
    let ids: Vec<Uuid> = (0..keys).map(|_| key(world.now).id).collect();
    for id in &ids {
        let Answer::Run(ticket) = window.claim(world.claim(*id), world.now) else {
            panic!("a new key is refused");
        };
        let reply = Reply {
            status: 201,
            headers: Vec::new(),
            verdict: Verdict::Done,
            reason: None,
            retry_after: None,
        };
        let body = vec![0; ANSWER_MAX - size_of::<Whole>()];
        window.finish(ticket, Outcome::Answered(Box::new(Whole { reply, body })));
    }
    let first = window.claim(world.claim(ids[0]), world.now);
    assert_eq!(first, Answer::Kept(Outcome::Done { status: 201 }));
    let last = window.claim(world.claim(ids[keys - 1]), world.now);
    assert!(matches!(last, Answer::Kept(Outcome::Answered(_))));
    let tenure = world.claim(ids[0]).tenure;
    let export = window.export(&"payouts".into(), 3, &[SHARD], |_| tenure, world.now);
    let is_whole = |entry: &&ExportEntry| matches!(entry.outcome, Outcome::Answered(_));
    let whole = export.entries.iter().filter(is_whole).count();
    assert_eq!(whole, ANSWERS_EXPORT_MAX / ANSWER_MAX);
    assert_eq!(export.entries.len(), keys);
    assert!(window.is_empty());
}

#[test]
fn what_waits_leaves_no_more_once_it_is_handed_over() {
    let (mut window, world, ticket) = running();
    let claim = world.claim(world.keys[0].id);
    let handed = window.export(&"payouts".into(), 3, &[SHARD], |_| claim.tenure, world.now);
    assert!(handed.entries.is_empty());
    assert!(!window.leave(ticket));

    // The daemon leads again, and the key is entered anew.
    window.import(handed, |_| 2, world.now);
    let mut again = claim;
    again.tenure.term = Term {
        turn: 2,
        epoch: Some(3),
    };
    let answer = window.claim(again, world.now);
    let Answer::Run(later) = answer else {
        panic!("{answer:?}");
    };
    window.finish(ticket, Outcome::NotRun);
    assert_eq!(window.claim(again, world.now), Answer::Join);

    // What ran elsewhere takes the place of what waits here.
    let outcome = Outcome::Done { status: 200 };
    let ran = Export {
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
    window.import(ran, |_| 3, world.now);
    assert!(!window.leave(later));
    assert_eq!(window.claim(again, world.now), Answer::Kept(outcome));
}

//! Tests of the reader across gaps, losses and restarts of the log.

use crate::sample::{Log, appoint, group, record, runner, simple};
use copperwell_keyspace::{
    batch::Relayed,
    reader::{Phase, Reader, SHORT_READS_MAX},
    record::{Body, Record},
};
use proptest::{collection::vec, prelude::*};

/// Builds a record with the snapshot that a reader would append.
fn checkpoint(reader: &Reader, sequence: u64) -> Record {
    let snapshot = Box::new(reader.snapshot_to_append());
    record("checkpoint", sequence, Body::Snapshot(snapshot))
}

fn publish(log: &mut Log, sequence: u64, replaces: u64) {
    log.append(&record(
        "operator",
        sequence,
        Body::Manifest(simple(replaces)),
    ));
}

fn read(reader: &mut Reader, log: &Log) {
    reader.apply_batch(&log.read(reader.position()));
}

/// Reads often enough that a shorter log counts as restarted.
fn settle(reader: &mut Reader, log: &Log) {
    for _ in 0..=SHORT_READS_MAX {
        read(reader, log);
    }
}

#[test]
fn a_snapshot_and_later_records_close_a_gap() {
    let (mut log, mut early, mut late) = (Log::default(), Reader::new(), Reader::new());
    publish(&mut log, 1, 0);
    publish(&mut log, 2, 1);
    read(&mut early, &log);
    publish(&mut log, 3, 2);
    log.append(&checkpoint(&early, 1));
    publish(&mut log, 4, 3);
    log.retain_from(2);
    read(&mut late, &log);
    read(&mut early, &log);
    assert_eq!(late.phase(), Phase::Following);
    assert_eq!(late.state().version(), 4);
    assert!(late.state().agrees_with(early.state()));
    assert_eq!(late.next(), 5);
}

#[test]
fn without_a_snapshot_a_gap_stays_and_no_record_is_applied() {
    let (mut log, mut late) = (Log::default(), Reader::new());
    publish(&mut log, 1, 0);
    publish(&mut log, 2, 1);
    log.retain_from(1);
    read(&mut late, &log);
    assert_eq!((late.phase(), late.state().version()), (Phase::Gap, 0));
    assert!(late.needs_snapshot());
}

#[test]
fn a_gap_stays_if_records_after_a_snapshots_end_are_missing() {
    let (mut log, mut early, mut late) = (Log::default(), Reader::new(), Reader::new());
    publish(&mut log, 1, 0);
    read(&mut early, &log);
    let stale = checkpoint(&early, 1);
    publish(&mut log, 2, 1);
    log.append(&record("other", 1, appoint(&group("north"), 0, "one")));
    log.append(&stale);
    read(&mut early, &log);
    log.retain_from(3);
    read(&mut late, &log);
    assert_eq!(late.phase(), Phase::Gap);
    read(&mut early, &log);
    log.append(&checkpoint(&early, 2));
    read(&mut late, &log);
    assert_eq!(late.phase(), Phase::Following);
    assert!(late.state().agrees_with(early.state()));
}

#[test]
fn a_snapshot_restores_the_state_of_a_log_that_lost_everything() {
    let (mut log, mut one, mut two) = (Log::default(), Reader::new(), Reader::new());
    publish(&mut log, 1, 0);
    publish(&mut log, 2, 1);
    log.append(&record("other", 1, appoint(&group("north"), 0, "one")));
    read(&mut one, &log);
    read(&mut two, &log);
    let before = one.state().clone();

    let mut log = Log::default();
    publish(&mut log, 9, 0);
    settle(&mut one, &log);
    assert_eq!((one.phase(), one.state().version()), (Phase::Restarted, 2));
    log.append(&checkpoint(&one, 1));
    settle(&mut one, &log);
    settle(&mut two, &log);
    let mut joiner = Reader::new();
    read(&mut joiner, &log);
    for reader in [&one, &two, &joiner] {
        assert_eq!(reader.phase(), Phase::Following);
        assert_eq!(reader.state().version(), 2);
        assert!(reader.state().agrees_with(&before));
        assert!(!reader.is_ahead());
    }
    publish(&mut log, 10, 2);
    read(&mut one, &log);
    read(&mut two, &log);
    assert_eq!((one.state().version(), two.state().version()), (3, 3));
}

#[test]
fn epochs_rise_after_offsets_restart() {
    let (mut log, mut reader) = (Log::default(), Reader::new());
    publish(&mut log, 1, 0);
    log.append(&record("other", 1, appoint(&group("north"), 0, "one")));
    read(&mut reader, &log);
    let before = reader.state().groups[&group("north")].epoch;
    let mut log = Log::default();
    settle(&mut reader, &log);
    log.append(&checkpoint(&reader, 1));
    log.append(&record("other", 2, appoint(&group("north"), before, "two")));
    settle(&mut reader, &log);
    assert!(reader.state().groups[&group("north")].epoch > before);
}

#[test]
fn a_replaced_log_is_detected_after_an_outage() {
    let (mut log, mut reader) = (Log::default(), Reader::new());
    publish(&mut log, 1, 0);
    read(&mut reader, &log);
    reader.record_failed_read();
    let mut log = Log::default();
    publish(&mut log, 5, 0);
    publish(&mut log, 6, 1);
    read(&mut reader, &log);
    assert_eq!(reader.phase(), Phase::Restarted);
}

#[test]
fn one_stale_answer_is_not_a_restart() {
    let (mut log, mut reader) = (Log::default(), Reader::new());
    publish(&mut log, 1, 0);
    let stale = log.clone();
    publish(&mut log, 2, 1);
    read(&mut reader, &log);
    read(&mut reader, &stale);
    assert_eq!(reader.phase(), Phase::Short);
    read(&mut reader, &log);
    assert_eq!(reader.phase(), Phase::Following);
    settle(&mut reader, &stale);
    assert_eq!(reader.phase(), Phase::Restarted);
    read(&mut reader, &log);
    assert_eq!((reader.phase(), reader.next()), (Phase::Following, 2));
    assert!(!reader.is_ahead());
}

#[test]
fn stale_answers_of_a_peer_are_not_a_restart() {
    let (mut log, mut reader) = (Log::default(), Reader::new());
    publish(&mut log, 1, 0);
    let mut stale = log.read(0);
    publish(&mut log, 2, 1);
    read(&mut reader, &log);
    stale.relayed = Some(Relayed {
        generation: 0,
        age: std::time::Duration::ZERO,
    });
    for _ in 0..=SHORT_READS_MAX {
        reader.apply_batch(&stale);
    }
    assert_eq!(reader.phase(), Phase::Following);
}

#[test]
fn an_older_state_of_a_peer_is_not_adopted() {
    let (mut log, mut ahead, mut behind) = (Log::default(), Reader::new(), Reader::new());
    publish(&mut log, 1, 0);
    read(&mut behind, &log);
    publish(&mut log, 2, 1);
    read(&mut ahead, &log);
    assert!(!ahead.adopt(&behind.snapshot()));
    assert_eq!(ahead.state().version(), 2);
    assert!(behind.adopt(&ahead.snapshot()));
    assert_eq!(behind.state().version(), 2);
}

/// An event of a random history of a log with three readers.
#[derive(Debug, Clone)]
enum Event {
    Publish,
    Appoint,
    Read(usize),
    FailedRead(usize),
    Checkpoint(usize),
    /// The log loses its last records.
    Truncate(usize),
    /// The log loses everything and starts again at offset zero.
    Reset,
    /// Retention removes all but the last records.
    Retain(usize),
    /// A new reader replaces one.
    Replace(usize),
    Adopt {
        from: usize,
        to: usize,
    },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        4 => Just(Event::Publish),
        4 => Just(Event::Appoint),
        12 => (0..3_usize).prop_map(Event::Read),
        2 => (0..3_usize).prop_map(Event::FailedRead),
        2 => (0..3_usize).prop_map(Event::Checkpoint),
        1 => (1..4_usize).prop_map(Event::Truncate),
        1 => Just(Event::Reset),
        1 => (0..4_usize).prop_map(Event::Retain),
        1 => (0..3_usize).prop_map(Event::Replace),
        1 => (0..3_usize, 0..3_usize).prop_map(|(from, to)| Event::Adopt { from, to }),
    ];
    vec(event, 0..80)
}

struct World {
    log: Log,
    readers: Vec<Reader>,
    sequence: u64,
}

impl World {
    fn step(&mut self, event: &Event) {
        self.sequence += 1;
        let sequence = self.sequence;
        match event {
            Event::Publish => {
                let state = self.readers[sequence as usize % 3].state().clone();
                let mut next = simple(state.version());
                next.services[0].limits.queue = 1 + sequence as u32 % 5;
                let parent = state
                    .manifest
                    .as_deref()
                    .filter(|_| sequence.is_multiple_of(2));
                let body = Body::publication(parent, &next);
                self.log.append(&record("operator", sequence, body));
            }
            Event::Appoint => {
                let state = self.readers[sequence as usize % 3].state().clone();
                let group = group("north");
                let replaces = state.groups.get(&group).map_or(0, |current| current.epoch);
                let writer = format!("daemon-{}", sequence % 3);
                let body = appoint(&group, replaces, &writer);
                self.log.append(&record(&writer, sequence, body));
            }
            Event::Read(index) => read(&mut self.readers[*index], &self.log),
            Event::FailedRead(index) => self.readers[*index].record_failed_read(),
            Event::Checkpoint(index) => self.checkpoint(*index),
            Event::Truncate(count) => {
                let kept = self.log.records.len().saturating_sub(*count);
                self.log.records.truncate(kept);
            }
            Event::Reset => self.log = Log::default(),
            Event::Retain(count) => {
                let next = self.log.first + self.log.records.len() as u64;
                self.log.retain_from(next.saturating_sub(*count as u64));
            }
            Event::Replace(index) => self.readers[*index] = Reader::new(),
            Event::Adopt { from, to } => {
                let snapshot = self.readers[*from].snapshot();
                self.readers[*to].adopt(&snapshot);
            }
        }
    }

    fn checkpoint(&mut self, index: usize) {
        self.sequence += 1;
        let reader = &self.readers[index];
        let is_unsure = matches!(reader.phase(), Phase::Starting | Phase::Short);
        if !is_unsure && reader.state().manifest.is_some() {
            self.log.append(&checkpoint(reader, self.sequence));
        }
    }

    /// Ends all faults: every reader reads, and one that is ahead of the log appends a snapshot.
    fn converge(&mut self) {
        for round in 0..12 {
            for reader in &mut self.readers {
                reader.record_failed_read();
                settle(reader, &self.log);
            }
            let ahead = (0..3).find(|index| self.readers[*index].is_ahead());
            let follows = |index: &usize| self.readers[*index].phase() == Phase::Following;
            let with_gap = (0..3).find(|index| self.readers[*index].has_open_gap());
            // A reader that lacks records waits longer than the others before it continues
            // without them.
            let next = match ahead {
                None if round % 4 == 3 => with_gap,
                _ => ahead.or_else(|| (0..3).cycle().skip(round % 3).take(3).find(follows)),
            };
            self.checkpoint(next.unwrap_or(round % 3));
        }
        for reader in &mut self.readers {
            settle(reader, &self.log);
        }
    }
}

#[test]
fn no_reader_reverts_and_all_converge() {
    let run = |events: Vec<Event>| {
        let mut world = World {
            log: Log::default(),
            readers: vec![Reader::new(); 3],
            sequence: 0,
        };
        for event in &events {
            let before: Vec<u64> = versions(&world);
            let epochs: Vec<u64> = epochs(&world);
            world.step(event);
            let replaced = match event {
                Event::Replace(index) => Some(*index),
                _ => None,
            };
            for index in (0..3).filter(|index| Some(*index) != replaced) {
                prop_assert!(
                    versions(&world)[index] >= before[index],
                    "a manifest version decreased"
                );
                prop_assert!(
                    self::epochs(&world)[index] >= epochs[index],
                    "an epoch decreased"
                );
            }
        }
        let highest = versions(&world).into_iter().max();
        world.converge();
        if world
            .readers
            .iter()
            .all(|reader| reader.state().manifest.is_none())
        {
            // No reader has a manifest, so there is nothing to agree on.
            return Ok(());
        }
        let state = world.readers[0].state().clone();
        prop_assert!(Some(state.version()) >= highest, "a manifest was lost");
        for reader in &world.readers {
            prop_assert_eq!(reader.phase(), world.readers[0].phase());
            prop_assert!(reader.state().agrees_with(&state), "readers differ");
        }
        Ok(())
    };
    runner(600).run(&events(), run).expect("no case fails");
}

fn versions(world: &World) -> Vec<u64> {
    let states = world.readers.iter().map(Reader::state);
    states.map(|state| state.version()).collect()
}

fn epochs(world: &World) -> Vec<u64> {
    let states = world.readers.iter().map(Reader::state);
    states
        .map(|state| {
            let appointment = state.groups.get(&group("north"));
            appointment.map_or(0, |appointment| appointment.epoch)
        })
        .collect()
}

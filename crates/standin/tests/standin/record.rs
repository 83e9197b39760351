//! Tests of the checks over the record of holds and runs.

use std::time::Duration;

use copperwell_keyspace::{Incarnation, UpstreamName, manifest::Fencing};
use copperwell_standin::backend::{
    Record,
    record::{Freeze, Hold, Outcome, Run, Shard},
};
use test_case::test_case;
use tokio::time::Instant;

/// A record whose holds and runs are given in whole seconds after `base`.
struct Fixture {
    record: Record,
    base: Instant,
}

impl Fixture {
    fn new() -> Self {
        Self {
            record: Record::new(),
            base: Instant::now() - Duration::from_secs(1000),
        }
    }

    fn at(&self, second: u64) -> Instant {
        self.base + Duration::from_secs(second)
    }

    fn hold(&self, server: &str, fencing: Fencing, from: u64, until: u64) {
        let incarnation: Incarnation = 1;
        self.record.add_hold(Hold {
            server: server.into(),
            incarnation,
            fencing,
            shard: shard(),
            from: self.at(from),
            until: self.at(until),
        });
    }

    fn run(&self, server: &str, from: u64, until: u64, outcome: Outcome) {
        self.record.add_run(Run {
            server: server.into(),
            incarnation: 1,
            shard: shard(),
            key: "cabin-1".into(),
            request: "r".into(),
            idempotency: Some("key".into()),
            epoch: 2,
            digest: 0,
            start: self.at(from),
            end: Some(self.at(until)),
            outcome,
        });
    }
}

fn shard() -> Shard {
    Shard {
        service: "calendar".into(),
        index: 3,
    }
}

#[test_case("a", 10, 20, "b", 20, 30 => 0; "one after the other")]
#[test_case("a", 10, 20, "b", 19, 30 => 1; "one second of overlap")]
#[test_case("a", 10, 40, "b", 20, 30 => 1; "one within the other")]
#[test_case("a", 10, 20, "a", 15, 30 => 0; "two runs of one server")]
fn overlapping_holds_of_different_servers_are_found(
    first: &str,
    from: u64,
    until: u64,
    second: &str,
    from_2: u64,
    until_2: u64,
) -> usize {
    let fixture = Fixture::new();
    fixture.hold(first, Fencing::Checked, from, until);
    fixture.hold(second, Fencing::Checked, from_2, until_2);
    fixture.record.overlaps().len()
}

#[test]
fn overlap_contains_servers_and_period() {
    let fixture = Fixture::new();
    fixture.hold("b", Fencing::Checked, 19, 30);
    fixture.hold("a", Fencing::Checked, 10, 20);
    let overlaps = fixture.record.overlaps();
    let servers: Vec<&UpstreamName> = vec![&overlaps[0].first, &overlaps[0].second];
    assert_eq!(servers, [&"a".into(), &"b".into()]);
    let times = [overlaps[0].from, overlaps[0].until];
    assert_eq!(times, [fixture.at(19), fixture.at(20)]);
}

#[test]
fn unchecked_server_owns_a_shard_only_while_it_runs_a_request() {
    let fixture = Fixture::new();
    fixture.hold("a", Fencing::Unchecked, 10, 100);
    fixture.hold("b", Fencing::Checked, 50, 100);
    assert!(fixture.record.overlaps().is_empty());
    fixture.run("a", 60, 61, Outcome::Done);
    assert_eq!(fixture.record.overlaps().len(), 1);
}

#[test_case(Outcome::Cancelled, 25 => 0; "cancelled after the freeze")]
#[test_case(Outcome::Done, 25 => 1; "done after the freeze")]
#[test_case(Outcome::Cancelled, 35 => 1; "cancelled, with a freeze inside the overlap")]
fn cancelled_run_counts_only_until_its_server_froze(outcome: Outcome, froze: u64) -> usize {
    let fixture = Fixture::new();
    fixture.run("a", 20, 40, outcome);
    fixture.hold("b", Fencing::Checked, 30, 50);
    fixture.record.add_freeze(Freeze {
        server: "a".into(),
        from: fixture.at(froze),
        until: Some(fixture.at(39)),
    });
    fixture.record.overlaps().len()
}

#[test_case(Outcome::Done => 1)]
#[test_case(Outcome::Cancelled => 1)]
#[test_case(Outcome::Crashed => 1)]
#[test_case(Outcome::Undone => 0)]
fn repeated_run_of_a_key_is_found_unless_it_was_undone(outcome: Outcome) -> usize {
    let fixture = Fixture::new();
    fixture.run("a", 10, 11, Outcome::Done);
    assert!(fixture.record.twice_run().is_empty());
    fixture.run("b", 20, 21, outcome);
    fixture.record.twice_run().len()
}

#[test]
fn shard_is_unavailable_between_holds_and_while_its_server_is_frozen() {
    let fixture = Fixture::new();
    fixture.hold("a", Fencing::Checked, 10, 30);
    fixture.hold("b", Fencing::Checked, 35, 50);
    fixture.record.add_freeze(Freeze {
        server: "a".into(),
        from: fixture.at(25),
        until: Some(fixture.at(40)),
    });
    let gaps = fixture.record.unavailable(fixture.at(60));
    let times: Vec<[Instant; 2]> = gaps.iter().map(|gap| [gap.from, gap.until]).collect();
    let expected = [
        [fixture.at(25), fixture.at(35)],
        [fixture.at(50), fixture.at(60)],
    ];
    assert_eq!(times, expected);
}

#[test]
fn change_of_server_is_a_move_but_a_restart_is_not() {
    let fixture = Fixture::new();
    fixture.hold("a", Fencing::Checked, 10, 20);
    fixture.hold("a", Fencing::Checked, 21, 30);
    fixture.hold("b", Fencing::Checked, 40, 50);
    let moves = fixture.record.moves();
    assert_eq!(moves.len(), 1);
    assert_eq!((&*moves[0].from, &*moves[0].to), ("a", "b"));
}

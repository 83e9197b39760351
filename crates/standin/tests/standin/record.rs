//! What the record makes of the servers' holds and runs.

use std::time::Duration;

use copperwell_keyspace::{Incarnation, UpstreamName, manifest::Fencing};
use copperwell_standin::backend::{
    Record,
    record::{Frozen, Hold, Outcome, Run, Shard},
};
use test_case::test_case;
use tokio::time::Instant;

/// Holds and runs are noted in whole seconds from here.
struct Bench {
    record: Record,
    base: Instant,
}

impl Bench {
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
#[test_case("a", 10, 20, "b", 19, 30 => 1; "a second at once")]
#[test_case("a", 10, 40, "b", 20, 30 => 1; "one within the other")]
#[test_case("a", 10, 20, "a", 15, 30 => 0; "two runs of one server")]
fn holds_of_different_servers_may_not_overlap(
    first: &str,
    from: u64,
    until: u64,
    second: &str,
    from_2: u64,
    until_2: u64,
) -> usize {
    let bench = Bench::new();
    bench.hold(first, Fencing::Checked, from, until);
    bench.hold(second, Fencing::Checked, from_2, until_2);
    bench.record.overlaps().len()
}

#[test]
fn overlap_names_servers_and_time() {
    let bench = Bench::new();
    bench.hold("b", Fencing::Checked, 19, 30);
    bench.hold("a", Fencing::Checked, 10, 20);
    let overlaps = bench.record.overlaps();
    let servers: Vec<&UpstreamName> = vec![&overlaps[0].first, &overlaps[0].second];
    assert_eq!(servers, [&"a".into(), &"b".into()]);
    let times = [overlaps[0].from, overlaps[0].until];
    assert_eq!(times, [bench.at(19), bench.at(20)]);
}

#[test]
fn unchecked_server_owns_what_it_runs() {
    let bench = Bench::new();
    bench.hold("a", Fencing::Unchecked, 10, 100);
    bench.hold("b", Fencing::Checked, 50, 100);
    assert!(bench.record.overlaps().is_empty());
    bench.run("a", 60, 61, Outcome::Done);
    assert_eq!(bench.record.overlaps().len(), 1);
}

#[test_case(Outcome::Cancelled, 25 => 0; "cancelled when it woke")]
#[test_case(Outcome::Done, 25 => 1; "done after it woke")]
#[test_case(Outcome::Cancelled, 35 => 1; "cancelled though it froze later")]
fn frozen_server_does_nothing_for_a_caller_that_is_gone(outcome: Outcome, froze: u64) -> usize {
    let bench = Bench::new();
    bench.run("a", 20, 40, outcome);
    bench.hold("b", Fencing::Checked, 30, 50);
    bench.record.add_frozen(Frozen {
        server: "a".into(),
        from: bench.at(froze),
        until: Some(bench.at(39)),
    });
    bench.record.overlaps().len()
}

#[test_case(Outcome::Done => 1)]
#[test_case(Outcome::Cancelled => 1)]
#[test_case(Outcome::Crashed => 1)]
#[test_case(Outcome::Undone => 0)]
fn second_run_of_a_key_counts_unless_it_was_undone(outcome: Outcome) -> usize {
    let bench = Bench::new();
    bench.run("a", 10, 11, Outcome::Done);
    assert!(bench.record.twice_run().is_empty());
    bench.run("b", 20, 21, outcome);
    bench.record.twice_run().len()
}

#[test]
fn shard_is_unavailable_between_holds_and_while_its_server_is_frozen() {
    let bench = Bench::new();
    bench.hold("a", Fencing::Checked, 10, 30);
    bench.hold("b", Fencing::Checked, 35, 50);
    bench.record.add_frozen(Frozen {
        server: "a".into(),
        from: bench.at(25),
        until: Some(bench.at(40)),
    });
    let gaps = bench.record.unavailable(bench.at(60));
    let times: Vec<[Instant; 2]> = gaps.iter().map(|gap| [gap.from, gap.until]).collect();
    let expected = [[bench.at(25), bench.at(35)], [bench.at(50), bench.at(60)]];
    assert_eq!(times, expected);
}

#[test]
fn change_of_server_is_a_move_and_a_restart_is_none() {
    let bench = Bench::new();
    bench.hold("a", Fencing::Checked, 10, 20);
    bench.hold("a", Fencing::Checked, 21, 30);
    bench.hold("b", Fencing::Checked, 40, 50);
    let moves = bench.record.moves();
    assert_eq!(moves.len(), 1);
    assert_eq!((&*moves[0].from, &*moves[0].to), ("a", "b"));
}

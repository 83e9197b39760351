//! Upstreams that fail, restart or answer late.

use std::time::Duration;

use super::{SECOND, is_grant, running};
use crate::harness::{Harness, LEASE, Mode, shard_digest};
use copperwell_keyspace::manifest::Fencing;
use test_case::test_case;

#[test_case(Mode::Down)]
#[test_case(Mode::Partitioned)]
#[test_case(Mode::NoAnswers)]
fn an_unreachable_upstream_is_replaced_after_expiry_within_four_seconds(mode: Mode) {
    let mut harness = running(2, 8);
    harness.modes[1] = mode;
    let grants = harness.count_orders(0, is_grant);
    let begin = harness.now;
    while harness.servers[1].holds(7, harness.now) {
        assert_eq!(harness.count_orders(0, is_grant), grants);
        harness.advance(Duration::from_millis(10));
    }
    harness.advance((begin + SECOND * 4).saturating_sub(harness.now));
    assert_eq!(harness.count_shards(0), 8);
}

#[test]
fn a_restarted_server_gets_its_shards_back_within_a_heartbeat() {
    let mut harness = running(2, 8);
    harness.servers[1].restart(harness.now);
    harness.advance(LEASE / 3 + Duration::from_millis(20));
    assert_eq!(harness.count_shards(1), 4);
    assert_eq!(harness.count_orders(0, is_grant), 1);
}

#[test]
fn a_shard_with_an_unanswered_grant_is_not_granted_elsewhere_before_expiry() {
    let mut harness = running(2, 8);
    harness.servers[1].restart(harness.now);
    harness.modes[1] = Mode::NoAnswersToGrants;
    let holds =
        |harness: &Harness| (0..8).any(|shard| harness.servers[1].holds(shard, harness.now));
    while !holds(&harness) {
        harness.advance(Duration::from_millis(1));
    }
    assert_eq!(harness.count_shards(1), 0);
    harness.modes[1] = Mode::Partitioned;
    let begin = harness.now;
    while harness.now < begin + SECOND * 5 {
        for shard in 0..8 {
            let both = (0..2).all(|server| harness.servers[server].holds(shard, harness.now));
            assert!(!both, "shard {shard} at {:?}", harness.now);
        }
        harness.advance(Duration::from_millis(10));
    }
    assert_eq!(harness.count_shards(0), 8);
}

#[test]
fn a_server_whose_digest_differs_is_fenced_and_repaired() {
    let mut harness = running(2, 8);
    let shard = *harness
        .owners()
        .iter()
        .find(|(_, owner)| **owner == 1)
        .unwrap()
        .0;
    harness.servers[1].release(shard, harness.now);
    assert!(!harness.servers[1].holds(shard, harness.now));
    harness.advance(LEASE);
    let holders = (0..2).filter(|server| harness.servers[*server].holds(shard, harness.now));
    assert_eq!(holders.count(), 1);
    assert_eq!(harness.owners().len(), 8);
}

#[test_case(Fencing::Unchecked; "an unchecked server accepts it")]
#[test_case(Fencing::Checked; "a checked server refuses it")]
fn a_late_grant_to_a_drained_server_yields_no_second_owner(fencing: Fencing) {
    let mut harness = Harness::new(2, 8);
    for server in &mut harness.servers {
        server.is_checked = fencing == Fencing::Checked;
    }
    harness.modes[1] = Mode::DelayedGrants;
    harness.configure(|config| {
        for upstream in &mut config.upstreams {
            upstream.fencing = fencing;
        }
    });
    let late = harness
        .orders
        .iter()
        .find(|sent| sent.server == 1 && is_grant(&sent.order));
    let late = late.unwrap().order.clone();
    harness.modes[1] = Mode::Healthy;
    harness.advance(Duration::from_millis(100));
    assert_eq!(harness.count_shards(1), 4);
    harness.configure(|config| config.upstreams[1].drain = true);
    harness.advance(Duration::from_millis(100));
    assert!(
        harness.servers[1]
            .handle(4, &late, shard_digest, harness.now)
            .is_ok()
            != (fencing == Fencing::Checked)
    );
    for shard in 0..8 {
        let both = (0..2).all(|server| harness.servers[server].holds(shard, harness.now));
        assert!(!both, "shard {shard}");
    }
    harness.advance(LEASE * 2);
    assert_eq!(harness.count_shards(0), 8);
}

//! A server's rights under orders that come early, late, twice or from old leaders.

use std::time::Duration;

use copperwell_backend::order::{Fence, Give, Release, Renew};
use copperwell_keyspace::{Epoch, GroupId, Sequence, ShardIndex, manifest::Fencing};
use copperwell_standin::backend::grants::{Change, Grants, Refused};
use test_case::test_case;
use tokio::time::Instant;

const RUN: u64 = 7;
const LEASE: Duration = Duration::from_secs(1);

/// A server whose clock stands where a test sets it.
struct Server {
    grants: Grants,
    now: Instant,
}

impl Server {
    fn new(fencing: Fencing) -> Self {
        Self {
            grants: Grants::new(RUN, fencing),
            now: Instant::now(),
        }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
    }

    fn fence(&mut self, epoch: Epoch) -> Option<Vec<ShardIndex>> {
        let order = Fence {
            group: group(),
            epoch,
            leader: "entry-1".into(),
        };
        let fenced = self.grants.fence(&order, self.now).ok()?;
        let live = fenced
            .grants
            .iter()
            .filter(|grant| !grant.remaining.is_zero());
        let mut shards: Vec<ShardIndex> = live.map(|grant| grant.shard).collect();
        shards.sort_unstable();
        Some(shards)
    }

    fn give(&mut self, epoch: Epoch, sequence: Sequence, shard: ShardIndex) -> Option<Vec<Change>> {
        let order = Give {
            group: group(),
            epoch,
            sequence,
            incarnation: RUN,
            lease_ms: 0,
            until_ms: 0,
            shards: vec![shard],
        };
        self.grants.give(&order, self.now, self.now + LEASE).ok()
    }

    fn renew(&mut self, epoch: Epoch, incarnation: u64) -> Option<usize> {
        let order = Renew {
            group: group(),
            epoch,
            incarnation,
            lease_ms: 0,
            until_ms: 0,
        };
        let renewed = self.grants.renew(&order, self.now, self.now + LEASE).ok()?;
        Some(renewed.len())
    }

    fn release(&mut self, epoch: Epoch, sequence: Sequence, shard: ShardIndex) -> Option<Release> {
        let order = Release {
            group: group(),
            epoch,
            sequence,
            shards: vec![shard],
        };
        self.grants.release(&order).ok()?;
        Some(order)
    }

    fn check(&self, shard: ShardIndex, epoch: Epoch) -> Result<(), Refused> {
        self.grants.check("calendar", shard, epoch, self.now)
    }
}

fn group() -> GroupId {
    GroupId {
        service: "calendar".into(),
        data_centre: "ro-nord-1".into(),
        part: 0,
    }
}

#[test_case(0, 2 => Ok(()); "the granted shard")]
#[test_case(1, 2 => Err(Refused::Unowned); "another shard")]
#[test_case(0, 1 => Err(Refused::Epoch); "an old epoch")]
#[test_case(1, 1 => Err(Refused::Epoch); "an old epoch for another shard")]
fn checked_server_serves_what_it_holds(shard: ShardIndex, epoch: Epoch) -> Result<(), Refused> {
    let mut server = Server::new(Fencing::Checked);
    server.give(2, 1, 0).unwrap();
    server.check(shard, epoch)
}

#[test]
fn unchecked_server_serves_anybody() {
    let mut server = Server::new(Fencing::Unchecked);
    server.fence(9).unwrap();
    assert_eq!(server.check(3, 1), Ok(()));
    assert!(server.give(1, 1, 0).is_some());
    assert!(server.renew(1, RUN + 1).is_some());
}

#[test]
fn grant_lapses_at_the_end_of_its_lease() {
    let mut server = Server::new(Fencing::Checked);
    server.give(2, 1, 0).unwrap();
    server.wait(LEASE - Duration::from_nanos(1));
    assert_eq!(server.check(0, 2), Ok(()));
    server.wait(Duration::from_nanos(1));
    assert_eq!(server.check(0, 2), Err(Refused::Unowned));
    assert!(!server.grants.may_finish("calendar", 0, server.now));
}

#[test]
fn renewal_prolongs_and_never_revives() {
    let mut server = Server::new(Fencing::Checked);
    server.give(2, 1, 0).unwrap();
    server.wait(LEASE / 2);
    assert_eq!(server.renew(2, RUN), Some(1));
    server.wait(LEASE - Duration::from_nanos(1));
    assert_eq!(server.check(0, 2), Ok(()));
    server.wait(Duration::from_nanos(1));
    assert_eq!(server.renew(2, RUN), Some(0));
    assert_eq!(server.check(0, 2), Err(Refused::Unowned));
}

#[test]
fn order_for_another_run_is_refused() {
    let mut server = Server::new(Fencing::Checked);
    server.give(2, 1, 0).unwrap();
    assert_eq!(server.renew(2, RUN - 1), None);
}

#[test]
fn fence_keeps_grants_and_stops_the_old_leader() {
    let mut server = Server::new(Fencing::Checked);
    server.give(2, 5, 0).unwrap();
    assert_eq!(server.fence(3), Some(vec![0]));
    assert_eq!(server.check(0, 2), Err(Refused::Epoch));
    assert_eq!(server.check(0, 3), Ok(()));
    assert_eq!(server.renew(2, RUN), None);
    assert_eq!(server.give(2, 6, 1), None);
    assert!(server.release(2, 7, 0).is_none());
    assert_eq!(server.fence(2), None);
    // The sequence starts anew with each epoch.
    assert!(server.give(3, 1, 1).is_some());
}

#[test]
fn grant_that_comes_twice_counts_once() {
    let mut server = Server::new(Fencing::Checked);
    assert_eq!(server.give(2, 1, 0).unwrap().len(), 1);
    server.wait(LEASE / 2);
    assert_eq!(server.give(2, 1, 0), Some(Vec::new()));
    server.wait(LEASE / 2);
    assert_eq!(server.check(0, 2), Err(Refused::Unowned));
}

#[test]
fn grant_that_comes_after_its_release_is_refused() {
    let mut server = Server::new(Fencing::Checked);
    server.give(2, 1, 0).unwrap();
    let order = server.release(2, 2, 0).unwrap();
    server.grants.let_go(&order, server.now);
    assert_eq!(server.give(2, 1, 0), None);
    assert_eq!(server.check(0, 2), Err(Refused::Unowned));
    assert!(server.give(2, 3, 0).is_some());
    assert_eq!(server.check(0, 2), Ok(()));
}

#[test]
fn released_shard_finishes_what_runs_and_starts_nothing() {
    let mut server = Server::new(Fencing::Checked);
    server.give(2, 1, 0).unwrap();
    let order = server.release(2, 2, 0).unwrap();
    assert_eq!(server.check(0, 2), Err(Refused::Unowned));
    assert!(server.grants.may_finish("calendar", 0, server.now));
    assert_eq!(server.grants.held(&group(), server.now).shards, 1);
    let gone = server.grants.let_go(&order, server.now);
    assert_eq!(gone, [Change::Released("calendar".into(), 0)]);
    assert!(!server.grants.may_finish("calendar", 0, server.now));
    assert_eq!(server.grants.held(&group(), server.now).shards, 0);
}

#[test]
fn shard_that_is_given_again_is_not_let_go() {
    let mut server = Server::new(Fencing::Checked);
    server.give(2, 1, 0).unwrap();
    let order = server.release(2, 2, 0).unwrap();
    server.give(2, 3, 0).unwrap();
    assert_eq!(server.grants.let_go(&order, server.now), []);
    assert_eq!(server.check(0, 2), Ok(()));
}

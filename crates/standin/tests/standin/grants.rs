//! Tests of a server's grants under orders that are early, late, duplicated or from old leaders.

use std::time::Duration;

use copperwell_backend::order::{Fence, Give, Release, Renew};
use copperwell_keyspace::{Epoch, GroupId, Sequence, ShardIndex, manifest::Fencing};
use copperwell_standin::backend::grants::{Change, Grants, Rejection};
use test_case::test_case;
use tokio::time::Instant;

const INCARNATION: u64 = 7;
const LEASE: Duration = Duration::from_secs(1);

/// The grants of a server, with a clock that only the test advances.
struct Server {
    grants: Grants,
    now: Instant,
}

impl Server {
    fn new(fencing: Fencing) -> Self {
        Self {
            grants: Grants::new(INCARNATION, fencing),
            now: Instant::now(),
        }
    }

    fn advance(&mut self, time: Duration) {
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

    fn grant(
        &mut self,
        epoch: Epoch,
        sequence: Sequence,
        shard: ShardIndex,
    ) -> Option<Vec<Change>> {
        let order = Give {
            group: group(),
            epoch,
            sequence,
            incarnation: INCARNATION,
            lease_ms: 0,
            until_ms: 0,
            shards: vec![shard],
        };
        self.grants.grant(&order, self.now, self.now + LEASE).ok()
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

    fn check(&self, shard: ShardIndex, epoch: Epoch) -> Result<(), Rejection> {
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
#[test_case(1, 2 => Err(Rejection::Unowned); "another shard")]
#[test_case(0, 1 => Err(Rejection::StaleEpoch); "a stale epoch")]
#[test_case(1, 1 => Err(Rejection::StaleEpoch); "a stale epoch for another shard")]
fn checked_server_accepts_only_held_shards_and_current_epochs(
    shard: ShardIndex,
    epoch: Epoch,
) -> Result<(), Rejection> {
    let mut server = Server::new(Fencing::Checked);
    server.grant(2, 1, 0).unwrap();
    server.check(shard, epoch)
}

#[test]
fn unchecked_server_accepts_every_request_and_order() {
    let mut server = Server::new(Fencing::Unchecked);
    server.fence(9).unwrap();
    assert_eq!(server.check(3, 1), Ok(()));
    assert!(server.grant(1, 1, 0).is_some());
    assert!(server.renew(1, INCARNATION + 1).is_some());
}

#[test]
fn grant_expires_at_the_end_of_its_lease() {
    let mut server = Server::new(Fencing::Checked);
    server.grant(2, 1, 0).unwrap();
    server.advance(LEASE - Duration::from_nanos(1));
    assert_eq!(server.check(0, 2), Ok(()));
    server.advance(Duration::from_nanos(1));
    assert_eq!(server.check(0, 2), Err(Rejection::Unowned));
    assert!(!server.grants.may_finish("calendar", 0, server.now));
}

#[test]
fn renewal_extends_a_lease_but_never_an_expired_one() {
    let mut server = Server::new(Fencing::Checked);
    server.grant(2, 1, 0).unwrap();
    server.advance(LEASE / 2);
    assert_eq!(server.renew(2, INCARNATION), Some(1));
    server.advance(LEASE - Duration::from_nanos(1));
    assert_eq!(server.check(0, 2), Ok(()));
    server.advance(Duration::from_nanos(1));
    assert_eq!(server.renew(2, INCARNATION), Some(0));
    assert_eq!(server.check(0, 2), Err(Rejection::Unowned));
}

#[test]
fn order_for_another_incarnation_is_refused() {
    let mut server = Server::new(Fencing::Checked);
    server.grant(2, 1, 0).unwrap();
    assert_eq!(server.renew(2, INCARNATION - 1), None);
}

#[test]
fn fence_keeps_grants_and_rejects_the_old_leader() {
    let mut server = Server::new(Fencing::Checked);
    server.grant(2, 5, 0).unwrap();
    assert_eq!(server.fence(3), Some(vec![0]));
    assert_eq!(server.check(0, 2), Err(Rejection::StaleEpoch));
    assert_eq!(server.check(0, 3), Ok(()));
    assert_eq!(server.renew(2, INCARNATION), None);
    assert_eq!(server.grant(2, 6, 1), None);
    assert!(server.release(2, 7, 0).is_none());
    assert_eq!(server.fence(2), None);
    // The sequence restarts with each epoch.
    assert!(server.grant(3, 1, 1).is_some());
}

#[test]
fn duplicate_grant_does_not_extend_the_lease() {
    let mut server = Server::new(Fencing::Checked);
    assert_eq!(server.grant(2, 1, 0).unwrap().len(), 1);
    server.advance(LEASE / 2);
    assert_eq!(server.grant(2, 1, 0), Some(Vec::new()));
    server.advance(LEASE / 2);
    assert_eq!(server.check(0, 2), Err(Rejection::Unowned));
}

#[test]
fn grant_that_arrives_after_its_release_is_refused() {
    let mut server = Server::new(Fencing::Checked);
    server.grant(2, 1, 0).unwrap();
    let order = server.release(2, 2, 0).unwrap();
    server.grants.complete_release(&order, server.now);
    assert_eq!(server.grant(2, 1, 0), None);
    assert_eq!(server.check(0, 2), Err(Rejection::Unowned));
    assert!(server.grant(2, 3, 0).is_some());
    assert_eq!(server.check(0, 2), Ok(()));
}

#[test]
fn released_shard_finishes_running_requests_and_accepts_no_new_ones() {
    let mut server = Server::new(Fencing::Checked);
    server.grant(2, 1, 0).unwrap();
    let order = server.release(2, 2, 0).unwrap();
    assert_eq!(server.check(0, 2), Err(Rejection::Unowned));
    assert!(server.grants.may_finish("calendar", 0, server.now));
    assert_eq!(server.grants.held(&group(), server.now).shards, 1);
    let changes = server.grants.complete_release(&order, server.now);
    assert_eq!(changes, [Change::Released("calendar".into(), 0)]);
    assert!(!server.grants.may_finish("calendar", 0, server.now));
    assert_eq!(server.grants.held(&group(), server.now).shards, 0);
}

#[test]
fn release_does_not_end_a_newer_grant() {
    let mut server = Server::new(Fencing::Checked);
    server.grant(2, 1, 0).unwrap();
    let order = server.release(2, 2, 0).unwrap();
    server.grant(2, 3, 0).unwrap();
    assert_eq!(server.grants.complete_release(&order, server.now), []);
    assert_eq!(server.check(0, 2), Ok(()));
}

//! Tests of each rule of the state machine by itself.

mod leadership;
mod moves;
mod succession;
mod upstreams;

use std::time::Duration;

use crate::harness::Harness;
use copperwell_policy::group::message::{Input, Order};

const SECOND: Duration = Duration::from_secs(1);

fn is_grant(order: &Order) -> bool {
    matches!(order, Order::Grant { .. })
}

fn is_renew(order: &Order) -> bool {
    matches!(order, Order::Renew { .. })
}

fn is_release(order: &Order) -> bool {
    matches!(order, Order::Release { .. })
}

/// Returns a group whose shards are all served.
fn running(servers: usize, shards: u32) -> Harness {
    let mut harness = Harness::new(servers, shards);
    harness.handle(Input::Tick);
    harness.advance(SECOND);
    assert_eq!(harness.owners().len(), shards as usize);
    harness
}

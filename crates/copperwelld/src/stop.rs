//! Hand-over of groups before the daemon stops.

use std::{sync::atomic::Ordering, time::Duration};

use crate::core::Core;
use copperwell_backend::{Control, Forward};
use copperwell_keyspace::{GroupId, Member, ShardIndex};
use copperwell_peer::control::{Client, HandOver};
use spdlog::info;
use tokio::time::timeout;

/// The timeout for the hand-over of one group.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Hands over all groups that the daemon leads, concurrently.
pub(crate) async fn hand_over_all<C: Control, F: Forward>(core: &Core<C, F>, client: &Client) {
    core.leaving.store(true, Ordering::Release);
    let led = core.groups.led();
    let hand_overs = led
        .iter()
        .map(|group| timeout(HAND_OVER_TIMEOUT, hand_over(core, client, group)));
    futures::future::join_all(hand_overs).await;
}

/// Stops leading a group, then hands it over to its standby with the table of idempotency keys.
async fn hand_over<C: Control, F: Forward>(core: &Core<C, F>, client: &Client, group: &GroupId) {
    let Some(standby) = standby_of(core, group) else {
        return;
    };
    let Some(epoch) = core.groups.hand_over(group).await else {
        return;
    };
    let window = core
        .engine
        .window_export(&group.service, epoch, &shards_of(core, group));
    let message = HandOver {
        group: group.clone(),
        epoch,
        window: bincode::serialize(&window).unwrap_or_default(),
    };
    let taken = client
        .hand_over(standby.control, message)
        .await
        .unwrap_or(false);
    let group = group.to_string();
    let to = standby.name.to_string();
    info!("handed a group over to its standby", kv: { group, to, taken });
}

fn standby_of<C: Control, F: Forward>(core: &Core<C, F>, group: &GroupId) -> Option<Member> {
    core.state().groups.get(group)?.standby.clone()
}

fn shards_of<C: Control, F: Forward>(core: &Core<C, F>, group: &GroupId) -> Vec<ShardIndex> {
    let state = core.state();
    let owners = state.owners.get(&group.service);
    owners
        .map(|owners| owners.positions_of(group))
        .unwrap_or_default()
}

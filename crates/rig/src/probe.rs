//! Probes whether shards are served, with a request to each.

use std::{io, time::Duration};

use crate::{
    load::{self, Caller, Entries},
    schedule::{Offer, Once},
};
use copperwell_keyspace::{
    GroupId, ShardIndex,
    manifest::{Manifest, Service},
    shard,
};
use copperwell_message::Verdict;
use tokio::time::{Instant, sleep};

/// The deadline of a probe request.
const DEADLINE: Duration = Duration::from_secs(2);

/// The delay before shards without an answer are probed again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Probes the shards of the selected groups until the owner of each has answered.
///
/// A shard belongs to the group that owns it initially by the manifest. Each probe is a request
/// that is not repeatable, with a new idempotency key.
///
/// # Errors
///
/// Returns an error if an answer belongs to another request or is malformed, or if a shard has not
/// answered by `until`.
pub async fn wait_served(
    manifest: &Manifest,
    groups: impl Fn(&GroupId) -> bool,
    entries: &Entries,
    until: Instant,
) -> io::Result<()> {
    let services = manifest.services.iter();
    let mut offers: Vec<Offer> = services
        .flat_map(|service| offers_of(manifest, service, &groups))
        .collect();
    let caller = Caller {
        deadline: DEADLINE,
        resends: 0,
    };
    loop {
        let results = load::run(offers, entries.clone(), caller.clone()).await;
        if let Some(wrong) = results.iter().find(|result| result.wrong) {
            return Err(io::Error::other(format!(
                "a probe got a wrong answer: {wrong:?}"
            )));
        }
        let missing = results
            .into_iter()
            .filter(|result| result.verdicts.last() != Some(&Verdict::Done));
        let missing: Vec<load::Result> = missing.collect();
        let Some(first) = missing.first() else {
            return Ok(());
        };
        if Instant::now() >= until {
            let count = missing.len();
            let text =
                format!("timed out: {count} shards are not served, such as that of {first:?}");
            return Err(io::Error::other(text));
        }
        sleep(RETRY_DELAY).await;
        offers = missing
            .into_iter()
            .map(|result| with_new_id(result.offer))
            .collect();
    }
}

/// Returns one offer for each shard of a service that a selected group owns initially.
fn offers_of(
    manifest: &Manifest,
    service: &Service,
    groups: impl Fn(&GroupId) -> bool,
) -> Vec<Offer> {
    let owners = manifest.initial_owners(service);
    let shards = (0..).zip(owners.iter()).filter(|(_, owner)| groups(owner));
    let offers = (0..).zip(shards).map(|(number, (index, _))| Offer {
        at: Duration::ZERO,
        service: service.name.to_string(),
        key: key_of(index, service.shards),
        number,
        once: Some(Once::new(&mut rand::rng())),
    });
    offers.collect()
}

/// Returns a key that belongs to a shard.
#[must_use]
pub fn key_of(index: ShardIndex, shards: u32) -> String {
    let keys = (0_u64..).map(|number| format!("probe-{number}"));
    let mut matching = keys.filter(|key| shard::index_of(key, shards) == index);
    matching.next().expect("the sequence of keys is infinite")
}

/// Returns the offer with a new idempotency key.
fn with_new_id(offer: Offer) -> Offer {
    Offer {
        once: Some(Once::new(&mut rand::rng())),
        ..offer
    }
}

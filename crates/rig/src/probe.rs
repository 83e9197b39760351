//! Finds out whether every shard is served, by a request to each.

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

/// The deadline of a probe.
const DEADLINE: Duration = Duration::from_secs(2);

/// The pause before shards without an answer are asked again.
const PAUSE: Duration = Duration::from_millis(100);

/// Asks every shard whose owner is one of the groups, those without an answer again, until each
/// has answered.
///
/// Groups own what the manifest gives them at first. Each probe is a fresh request that is not
/// repeatable.
///
/// # Errors
///
/// An error if an answer is another request's, or shards are without an answer at `until`.
pub async fn wait(
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
            return Err(io::Error::other(format!("a wrong answer: {wrong:?}")));
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
            let text = format!("{count} shards without an answer, such as {first:?}");
            return Err(io::Error::other(text));
        }
        sleep(PAUSE).await;
        offers = missing
            .into_iter()
            .map(|result| again(result.offer))
            .collect();
    }
}

/// One offer for each shard of a service that one of the groups owns.
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

/// A key of a shard.
#[must_use]
pub fn key_of(index: ShardIndex, shards: u32) -> String {
    let keys = (0_u64..).map(|number| format!("probe-{number}"));
    let mut own = keys.filter(|key| shard::index_of(key, shards) == index);
    own.next().expect("the keys never end")
}

fn again(offer: Offer) -> Offer {
    Offer {
        once: Some(Once::new(&mut rand::rng())),
        ..offer
    }
}
